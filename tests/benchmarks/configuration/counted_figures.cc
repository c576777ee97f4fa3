#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "base/random.h"
#include "configuration/fetch.h"
#include "configuration/figures.h"
#include "configuration/local_configuration.h"
#include "configuration/read_timing.h"
#include "configuration/reader_selection.h"

namespace chestnutport::bench {
namespace {

using configuration::Documents;
using configuration::Head;
using configuration::LocalConfiguration;
using declarations::DeclarationTexts;
using membership::Member;

constexpr int kServices = 200;
constexpr size_t kDocumentBytes = 5000;
constexpr size_t kDataCentres = 14;
constexpr std::chrono::seconds kObservedTime(600);

std::string Document(int service, int version) {
  std::string text = absl::StrCat("; ", service, " ", version, "\n");
  text.resize(kDocumentBytes, 'x');
  return text;
}

DeclarationTexts Texts(int changed, int version) {
  DeclarationTexts texts;
  for (int i = 0; i < kServices; ++i) {
    texts[absl::StrCat("service-", i)] = Document(i, i < changed ? version : 0);
  }
  return texts;
}

// Returns a configuration after many confirmations of one service each, and a
// last one of `changed` services.
LocalConfiguration MakeConfiguration(int changed) {
  Head head;
  DeclarationTexts texts;
  for (int round = 0; round < 60; ++round) {
    texts = Texts(1, round);
    head =
        NextHead(head, configuration::MakeManifest(texts),
                 {.plan_id = absl::StrCat(round, "-0123456789abcdef01234567"),
                  .confirmed_by = "alice",
                  .confirmed_at = "2026-01-31T12:00:00.000Z"});
  }
  texts = Texts(changed, 1000);
  head =
      NextHead(head, configuration::MakeManifest(texts), {.plan_id = "last"});
  LocalConfiguration local;
  local.Apply(head, configuration::MakeDocuments(texts));
  return local;
}

void AddBytes(FigureReport& report) {
  configuration::PackedDocumentCache packed;
  for (const int changed : {1, 10, kServices}) {
    const LocalConfiguration local = MakeConfiguration(changed);
    const uint64_t before = local.head().revision - 1;
    const size_t bytes =
        MakeFetchResponse({before}, local, packed).ToJson().size();
    const double documents = changed * static_cast<double>(kDocumentBytes);
    report.Add({.name = absl::StrCat("configuration/fetch/", changed,
                                     "-of-200-changed"),
                .value = static_cast<double>(bytes),
                .unit = "B",
                .at_most = 40000 + 1.1 * documents});
  }
  const LocalConfiguration local = MakeConfiguration(1);
  report.Add({.name = "configuration/fetch/nothing-new",
              .value = static_cast<double>(
                  MakeFetchResponse({local.head().revision}, local, packed)
                      .ToJson()
                      .size()),
              .unit = "B",
              .at_most = 100});
  report.Add({.name = "configuration/head",
              .value = static_cast<double>(local.head().ToJson().size()),
              .unit = "B",
              .at_most = 40000});
}

size_t CountReaders(const std::vector<Member>& members) {
  size_t readers = 0;
  for (const Member& member : members)
    readers += configuration::ReaderSelection(members).IsReader(member);
  return readers;
}

// Returns the reads per second of one node in the steady state. `failing_nodes`
// is the number of nodes whose reads fail, including this one.
double ReadsPerSecond(size_t failing_nodes,
                      bool is_alone,
                      base::Random& random) {
  configuration::ReadTiming timing;
  base::Duration at{};
  int reads = 0;
  for (; at < kObservedTime; ++reads)
    at += timing.NextReadDelay(failing_nodes > 0, is_alone, failing_nodes,
                               random);
  return reads / std::chrono::duration<double>(kObservedTime).count();
}

void AddStoreCalls(FigureReport& report) {
  base::Random random(1);
  for (const size_t nodes : {100, 1000, 3000}) {
    std::vector<Member> members(nodes);
    for (size_t i = 0; i < nodes; ++i) {
      members[i].id = base::NodeId::Draw(random);
      members[i].data_centre = absl::StrCat("dc", i % kDataCentres);
    }
    const auto readers = static_cast<double>(CountReaders(members));
    std::vector<Member> lost = members;
    for (Member& member : lost)
      member.has_lost_store = true;
    const size_t retrying = CountReaders(lost);
    const std::string fleet = absl::StrCat("configuration/store/", nodes);
    report.Add({.name = fleet + "/calls-at-rest",
                .value = readers * ReadsPerSecond(0, false, random),
                .unit = "1/s",
                .at_most = 28.5});
    report.Add({.name = fleet + "/calls-in-an-outage",
                .value = static_cast<double>(retrying) *
                         ReadsPerSecond(retrying, false, random),
                .unit = "1/s",
                .at_most = 5});
    report.Add(
        {.name = fleet + "/calls-if-no-node-knows-another",
         .value = static_cast<double>(nodes) * ReadsPerSecond(0, true, random),
         .unit = "1/s",
         .at_most = 0.1 * static_cast<double>(nodes)});
  }
}

}  // namespace

void AddCountedFigures(FigureReport& report) {
  AddBytes(report);
  AddStoreCalls(report);
}

}  // namespace chestnutport::bench
