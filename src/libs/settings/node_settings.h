// The settings of one node, read from an INI file.
#ifndef SETTINGS_NODE_SETTINGS_H_
#define SETTINGS_NODE_SETTINGS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/socket_address.h"
#include "base/time.h"
#include "settings/problem.h"

namespace chestnutport::settings {

enum class AdapterKind {
  kOwn,     // The product's own headers and documents.
  kHosted,  // The users' hosted platform; see platform/.
};

struct NodeSettings {
  std::string name;  // For people; need not be unique.
  std::string data_centre;
  std::string region;
  base::SocketAddress caller_listen;  // Callers' requests.
  base::SocketAddress peer_listen;    // Callers' requests from other nodes.
  // Where other nodes reach `peer_listen`; port zero: where it is bound.
  base::SocketAddress peer_advertised;
  base::SocketAddress control_listen;   // Control calls of other nodes.
  base::SocketAddress operator_listen;  // Operators' API.
  base::SocketAddress server_listen;    // This node's own server.
  // Metrics for whoever gathers them, without a token; port zero: nowhere.
  base::SocketAddress metrics_listen;
  base::SocketAddress gossip_listen;       // Datagrams between nodes.
  std::vector<base::SocketAddress> store;  // The platform's service.
  std::string fleet;              // Nodes of other fleets are not heard.
  std::string peer_key;           // Shared by all nodes of the fleet.
  std::string previous_peer_key;  // Still accepted; empty: none.
  // Operator's name to the token that the operator shows.
  std::map<std::string, std::string> operator_tokens;
  base::Duration stop_grace = std::chrono::seconds(30);
  // How long a node that stops still takes requests, so that others learn of
  // it before its listeners close.
  base::Duration leave_notice = std::chrono::milliseconds(1500);
  // Nodes that start together spread over two seconds how they look for others.
  base::Duration start_wait = std::chrono::seconds(3);
  // Whether the fleet starts for the first time, so that no earlier run of this
  // node was told anything.
  bool is_first_start = false;
  // Which forms callers, servers and the store have.
  AdapterKind adapter = AdapterKind::kOwn;
  // Of the server beside this node; empty: it says so when it announces itself.
  std::string service;
  // Where that server is; port zero: it says so when it announces itself.
  base::SocketAddress server_address;
  // Where other nodes may be reached before the store was asked.
  std::vector<base::SocketAddress> first_contacts;
  base::Duration longest_store_wait = std::chrono::seconds(15);
  // Whether the store may hold evacuations of data centres.
  bool has_evacuations = true;
  // Within this time a confirmed configuration has to be in force on all nodes.
  base::Duration configuration_apply_time = std::chrono::seconds(2);
  // What the fleet may spend on handing a request to a second server: a share
  // of the requests in any window, and so many beside.
  double fleet_retry_share = 0.2;
  double fleet_retry_burst = 600;
  // What a cold server may be given of the rate that its service declares, and
  // so many requests beside in any time.
  double cold_rate_factor = 1;
  double cold_burst = 0;
  // Time after which a removed key must not be accepted by any node, in contact
  // or not. Zero: keys are judged by the configuration in force.
  base::Duration revocation_time{};
  // Lease of the node that divides the tenants' rate limits. When it ends, so
  // does what other nodes hold of the limits.
  base::Duration limit_lease = std::chrono::seconds(4);
  // Bits per second of the VM's link, in each direction. Zero if unknown.
  double link_rate = 0;
  // Bytes that the process may take. Unless it is set, those of a small VM.
  size_t memory_limit = 160 * 1024 * 1024;
};

// One setting as it is documented and checked.
struct SettingDescription {
  std::string_view section;
  std::string_view key;
  std::string_view unit;
  std::string_view default_text;  // Empty: must be given.
  std::string_view range;
  std::string_view help;
};

// All settings, in the order of the documentation page.
const std::vector<SettingDescription>& DescribeNodeSettings();

// The table of docs/SETTINGS.md, in Markdown.
std::string SettingsTable();

// The same for a terminal.
std::string SettingsHelp();

// Reads and checks everything; all problems are reported, not the first only.
// The result is meaningful only if `problems` stays empty.
NodeSettings ParseNodeSettings(std::string_view file,
                               std::string_view text,
                               Problems& problems);

}  // namespace chestnutport::settings

#endif  // SETTINGS_NODE_SETTINGS_H_
