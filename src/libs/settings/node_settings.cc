#include "settings/node_settings.h"

#include <algorithm>
#include <functional>

#include "absl/strings/numbers.h"
#include "base/encoding.h"
#include "base/text.h"
#include "settings/ini_document.h"

namespace chestnutport::settings {
namespace {

constexpr std::string_view kAddressRange =
    "an IPv4 address and port, as 10.0.0.5:7400; port 0 lets the kernel choose";
constexpr std::string_view kNameRange = "1 to 64 of a-z, 0-9 and -";
constexpr std::string_view kKeyRange = "16 to 256 printable characters";

// A setting: its description, and how its text is taken over. The reader
// returns false for a text that is out of range.
struct Setting {
  SettingDescription description;
  std::function<bool(NodeSettings&, std::string_view)> read;
};

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= 64 &&
         std::ranges::all_of(text, [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

bool IsKey(std::string_view text) {
  return text.size() >= 16 && text.size() <= 256;
}

auto Name(std::string NodeSettings::*member) {
  return [member](NodeSettings& settings, std::string_view text) {
    settings.*member = text;
    return IsName(text);
  };
}

auto Address(base::SocketAddress NodeSettings::*member) {
  return [member](NodeSettings& settings, std::string_view text) {
    const auto address = base::SocketAddress::Parse(text);
    if (address)
      settings.*member = *address;
    return address.has_value();
  };
}

auto Key(std::string NodeSettings::*member) {
  return [member](NodeSettings& settings, std::string_view text) {
    settings.*member = text;
    return text.empty() || IsKey(text);
  };
}

bool ReadStore(NodeSettings& settings, std::string_view text) {
  for (std::string_view part : base::Split(text, ',')) {
    const auto address = base::SocketAddress::Parse(base::Trim(part));
    if (!address)
      return false;
    settings.store.push_back(*address);
  }
  return !settings.store.empty();
}

bool ReadLeaveNotice(NodeSettings& settings, std::string_view text) {
  const auto duration = base::ParseDuration(text);
  if (!duration || *duration > std::chrono::hours(1))
    return false;
  settings.leave_notice = *duration;
  return true;
}

bool ReadStartWait(NodeSettings& settings, std::string_view text) {
  const auto duration = base::ParseDuration(text);
  if (!duration || *duration > std::chrono::minutes(1))
    return false;
  settings.start_wait = *duration;
  return true;
}

bool ReadAdapter(NodeSettings& settings, std::string_view text) {
  settings.adapter =
      text == "hosted" ? AdapterKind::kHosted : AdapterKind::kOwn;
  return text == "hosted" || text == "own";
}

bool ReadFirstContacts(NodeSettings& settings, std::string_view text) {
  for (std::string_view part : base::Split(text, ',')) {
    if (base::Trim(part).empty())
      continue;
    const auto address = base::SocketAddress::Parse(base::Trim(part));
    if (!address)
      return false;
    settings.first_contacts.push_back(*address);
  }
  return true;
}

bool ReadLongestStoreWait(NodeSettings& settings, std::string_view text) {
  const auto duration = base::ParseDuration(text);
  if (!duration || *duration < std::chrono::milliseconds(100) ||
      *duration > std::chrono::minutes(10)) {
    return false;
  }
  settings.longest_store_wait = *duration;
  return true;
}

bool ReadEvacuations(NodeSettings& settings, std::string_view text) {
  settings.has_evacuations = text == "yes";
  return text == "yes" || text == "no";
}

bool ReadFirstStart(NodeSettings& settings, std::string_view text) {
  settings.is_first_start = text == "yes";
  return text == "yes" || text == "no";
}

bool ReadConfigurationApplyTime(NodeSettings& settings, std::string_view text) {
  const auto duration = base::ParseDuration(text);
  if (!duration || *duration < std::chrono::milliseconds(500) ||
      *duration > std::chrono::hours(1)) {
    return false;
  }
  settings.configuration_apply_time = *duration;
  return true;
}

bool ReadRetryShare(NodeSettings& settings, std::string_view text) {
  return absl::SimpleAtod({text.data(), text.size()},
                          &settings.fleet_retry_share) &&
         settings.fleet_retry_share >= 0 && settings.fleet_retry_share <= 1;
}

bool ReadRetryBurst(NodeSettings& settings, std::string_view text) {
  constexpr double kMost = 1000000000;
  return base::ParseNumber(text, &settings.fleet_retry_burst) &&
         settings.fleet_retry_burst >= 0 && settings.fleet_retry_burst <= kMost;
}

bool ReadColdRateFactor(NodeSettings& settings, std::string_view text) {
  constexpr double kLeast = 0.01;
  constexpr double kMost = 100;
  return base::ParseNumber(text, &settings.cold_rate_factor) &&
         settings.cold_rate_factor >= kLeast &&
         settings.cold_rate_factor <= kMost;
}

bool ReadColdBurst(NodeSettings& settings, std::string_view text) {
  constexpr double kMost = 1000000;
  return base::ParseNumber(text, &settings.cold_burst) &&
         settings.cold_burst >= 0 && settings.cold_burst <= kMost;
}

bool ReadRevocationTime(NodeSettings& settings, std::string_view text) {
  const auto duration = base::ParseDuration(text);
  if (!duration || *duration < std::chrono::milliseconds(500) ||
      *duration > std::chrono::hours(24)) {
    return false;
  }
  settings.revocation_time = *duration;
  return true;
}

bool ReadLimitLease(NodeSettings& settings, std::string_view text) {
  const auto duration = base::ParseDuration(text);
  if (!duration || *duration < std::chrono::seconds(1) ||
      *duration > std::chrono::minutes(10)) {
    return false;
  }
  settings.limit_lease = *duration;
  return true;
}

bool ReadLinkRate(NodeSettings& settings, std::string_view text) {
  constexpr double kMost = 1e9;  // Mbit/s.
  constexpr double kBitsPerMegabit = 1e6;
  double megabits = 0;
  if (!base::ParseNumber(text, &megabits) || megabits < 0 || megabits > kMost)
    return false;
  settings.link_rate = megabits * kBitsPerMegabit;
  return true;
}

bool ReadMemoryLimit(NodeSettings& settings, std::string_view text) {
  constexpr double kLeast = 1;  // MiB.
  constexpr double kMost = 1e6;
  constexpr double kBytesPerMebibyte = 1024 * 1024;
  double mebibytes = 0;
  if (!base::ParseNumber(text, &mebibytes) || mebibytes < kLeast ||
      mebibytes > kMost) {
    return false;
  }
  settings.memory_limit = static_cast<size_t>(mebibytes * kBytesPerMebibyte);
  return true;
}

bool ReadStopGrace(NodeSettings& settings, std::string_view text) {
  const auto duration = base::ParseDuration(text);
  if (!duration || *duration > std::chrono::hours(1))
    return false;
  settings.stop_grace = *duration;
  return true;
}

const std::vector<Setting>& AllSettings() {
  static const std::vector<Setting> settings = {
      {{"node", "name", "", "", kNameRange, "Name shown to operators."},
       Name(&NodeSettings::name)},
      {{"node", "data_centre", "", "", kNameRange,
        "Data centre this node runs in."},
       Name(&NodeSettings::data_centre)},
      {{"node", "region", "", "", kNameRange, "Region of the data centre."},
       Name(&NodeSettings::region)},
      {{"node", "fleet", "", "", kNameRange,
        "Nodes of another fleet are not heard."},
       Name(&NodeSettings::fleet)},
      {{"node", "stop_grace", "duration", "30s", "up to 1h",
        "Longest wait for requests in flight when the node is stopped."},
       ReadStopGrace},
      {{"node", "leave_notice", "duration", "1500ms", "up to 1h",
        "How long a node that is stopped still takes requests."},
       ReadLeaveNotice},
      {{"node", "start_wait", "duration", "3s", "up to 1m",
        "Longest wait of callers to be accepted by a node that has just "
        "started, until it knows the configuration and the servers."},
       ReadStartWait},
      {{"node", "adapter", "", "own", "own or hosted",
        "Which forms callers, servers and the store have."},
       ReadAdapter},
      {{"node", "service", "", "as announced", kNameRange,
        "Service of the server beside this node."},
       Name(&NodeSettings::service)},
      {{"node", "server_address", "address", "as announced", kAddressRange,
        "Where the server beside this node is, to find it before it announces "
        "itself."},
       Address(&NodeSettings::server_address)},
      {{"node", "first_start", "", "no", "yes or no",
        "Whether the whole fleet starts for the first time. If not, the node "
        "asks the store which servers have told earlier runs of it that they "
        "leave. Must be no at each later start."},
       ReadFirstStart},
      {{"node", "first_contacts", "addresses", "none",
        "IPv4 addresses and ports, separated by commas; may be empty",
        "Nodes to greet before the store was asked, at this node's own gossip "
        "port, whatever port is given."},
       ReadFirstContacts},
      {{"retries", "share", "", "0.2", "0 to 1",
        "Second attempts of the whole fleet, as a share of the requests."},
       ReadRetryShare},
      {{"retries", "burst", "attempts", "600",
        "0 to 1000000000, also fractions",
        "Second attempts of the whole fleet beyond that share."},
       ReadRetryBurst},
      {{"cold_servers", "rate_factor", "", "1", "0.01 to 100",
        "What a cold server is given, as a share of what its service says "
        "that it tolerates."},
       ReadColdRateFactor},
      {{"cold_servers", "burst", "requests", "0", "0 to 1000000",
        "Requests that a cold server is given beside, in any time."},
       ReadColdBurst},
      {{"tenants", "revocation_time", "duration", "none", "500ms to 24h",
        "Time after which no node accepts a key that was removed, in contact "
        "with others or not."},
       ReadRevocationTime},
      {{"tenants", "limit_lease", "duration", "4s", "1s to 10m",
        "Lease of the node that divides the tenants' rate limits."},
       ReadLimitLease},
      {{"link", "rate", "Mbit/s", "unknown", "0 to 1000000000",
        "Rate of the VM's link in each direction; 0 if unknown."},
       ReadLinkRate},
      {{"memory", "limit", "MiB", "160", "1 to 1000000",
        "Memory that the process may take. Below 160 callers' bodies have "
        "less room, and the largest are refused."},
       ReadMemoryLimit},
      {{"listen", "caller", "address", "", kAddressRange,
        "Where callers send requests."},
       Address(&NodeSettings::caller_listen)},
      {{"listen", "peer", "address", "", kAddressRange,
        "Where other nodes send callers' requests."},
       Address(&NodeSettings::peer_listen)},
      {{"listen", "peer_advertised", "address", "as bound", kAddressRange,
        "Address of peer as other nodes see it."},
       Address(&NodeSettings::peer_advertised)},
      {{"listen", "control", "address", "", kAddressRange,
        "Where other nodes make control calls."},
       Address(&NodeSettings::control_listen)},
      {{"listen", "operator", "address", "", kAddressRange,
        "Where operators reach the API."},
       Address(&NodeSettings::operator_listen)},
      {{"listen", "server", "address", "", kAddressRange,
        "Where this node's own server announces itself."},
       Address(&NodeSettings::server_listen)},
      {{"listen", "gossip", "address", "", kAddressRange,
        "UDP, between nodes."},
       Address(&NodeSettings::gossip_listen)},
      {{"listen", "metrics", "address", "nowhere", kAddressRange,
        "Metrics as text at /v1/metrics, without a token."},
       Address(&NodeSettings::metrics_listen)},
      {{"store", "addresses", "addresses", "",
        "one or more IPv4 addresses and ports, separated by commas",
        "The platform's key-value service."},
       ReadStore},
      {{"store", "longest_wait", "duration", "15s", "100ms to 10m",
        "Between two tries of one node while the store fails."},
       ReadLongestStoreWait},
      {{"store", "evacuations", "", "yes", "yes or no",
        "Whether data centres may be evacuated through the store. If not, no "
        "node looks for evacuations there."},
       ReadEvacuations},
      {{"configuration", "apply_time", "duration", "2s", "500ms to 1h",
        "Time within which a confirmed configuration has to be in force on all "
        "nodes. The longer, the fewer calls to the store."},
       ReadConfigurationApplyTime},
      {{"keys", "peer", "", "", kKeyRange, "Key shared by all nodes."},
       Key(&NodeSettings::peer_key)},
      {{"keys", "peer_previous", "", "none", kKeyRange,
        "Key that is still accepted while the fleet changes keys."},
       Key(&NodeSettings::previous_peer_key)},
  };
  return settings;
}

constexpr std::string_view kOperatorsSection = "operators";

void ReadOperator(NodeSettings& settings,
                  const IniDocument& document,
                  const IniEntry& entry,
                  Problems& problems) {
  if (!IsName(entry.key) || !IsKey(entry.value)) {
    problems.push_back({document.file, entry.line, entry.section, entry.key,
                        "(hidden)", "name = token of 16 to 256 characters"});
    return;
  }
  settings.operator_tokens[entry.key] = entry.value;
}

void ReadEntry(NodeSettings& settings,
               const IniDocument& document,
               const IniEntry& entry,
               Problems& problems) {
  if (entry.section == kOperatorsSection) {
    ReadOperator(settings, document, entry, problems);
    return;
  }
  const auto found = std::ranges::find_if(AllSettings(), [&](const Setting& s) {
    return s.description.section == entry.section &&
           s.description.key == entry.key;
  });
  if (found == AllSettings().end()) {
    problems.push_back({document.file, entry.line, entry.section, entry.key,
                        entry.value, "a known key; see --help"});
    return;
  }
  if (found->read(settings, entry.value))
    return;
  const bool is_secret = entry.section == "keys";
  problems.push_back({document.file, entry.line, entry.section, entry.key,
                      is_secret ? "(hidden)" : entry.value,
                      std::string(found->description.range)});
}

}  // namespace

const std::vector<SettingDescription>& DescribeNodeSettings() {
  static const std::vector<SettingDescription> descriptions = [] {
    std::vector<SettingDescription> all;
    for (const Setting& setting : AllSettings())
      all.push_back(setting.description);
    return all;
  }();
  return descriptions;
}

NodeSettings ParseNodeSettings(std::string_view file,
                               std::string_view text,
                               Problems& problems) {
  NodeSettings settings;
  const IniDocument document = IniDocument::Parse(file, text, problems);
  for (const IniEntry& entry : document.entries)
    ReadEntry(settings, document, entry, problems);
  for (const Setting& setting : AllSettings()) {
    const SettingDescription& description = setting.description;
    const bool given =
        std::ranges::any_of(document.entries, [&](const auto& e) {
          return e.section == description.section && e.key == description.key;
        });
    if (!given && description.default_text.empty()) {
      problems.push_back({document.file, 0, std::string(description.section),
                          std::string(description.key), "(missing)",
                          std::string(description.range)});
    }
  }
  return settings;
}

}  // namespace chestnutport::settings
