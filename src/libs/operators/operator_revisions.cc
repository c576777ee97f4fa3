#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "configuration/fetch.h"
#include "operators/operator_handlers.h"
#include "operators/operator_response.h"

namespace chestnutport::operators {
namespace {

using configuration::FetchRequest;
using configuration::FetchResponse;
using membership::Member;
using nlohmann::json;

constexpr size_t kMaxConcurrentCalls = 64;
constexpr base::Duration kCallTimeout = std::chrono::seconds(2);

// Queries every member that is not gone for its revision, with a limited number
// of concurrent calls, and sends the response once each call has completed or
// timed out. Keeps itself alive until then.
class RevisionSurvey : public std::enable_shared_from_this<RevisionSurvey> {
 public:
  RevisionSurvey(control_calls::ControlCaller& caller,
                 uint64_t own_revision,
                 net::Reply reply)
      : caller_(caller),
        own_revision_(own_revision),
        reply_(std::move(reply)) {}

  void Run(const Member& self, const std::vector<Member>& members) {
    Add(self, own_revision_);
    for (const Member& member : members) {
      if (member.id != self.id &&
          member.state != membership::MemberState::kGone) {
        pending_.push_back(member);
      }
    }
    StartCalls();
  }

 private:
  void StartCalls() {
    while (calls_in_flight_ < kMaxConcurrentCalls && !pending_.empty()) {
      StartCall(pending_.back());
      pending_.pop_back();
    }
    if (calls_in_flight_ == 0)
      SendResult();
  }

  void StartCall(const Member& member) {
    ++calls_in_flight_;
    // Requests what is newer than the greatest possible revision, so that the
    // response contains no documents.
    const FetchRequest request{UINT64_MAX};
    caller_.Call(
        member.control_address, configuration::kFetchMethod, request.ToJson(),
        kCallTimeout, [survey = shared_from_this(), member](const auto& text) {
          const auto answer =
              text ? FetchResponse::FromJson(text.value()) : std::nullopt;
          survey->Add(member, answer ? json(answer->revision) : json(nullptr));
          --survey->calls_in_flight_;
          survey->StartCalls();
        });
  }

  void Add(const Member& member, const json& revision) {
    nodes_.push_back({{"node", member.id.ToString()},
                      {"name", member.name},
                      {"data_centre", member.data_centre},
                      {"revision", revision}});
    if (revision.is_number())
      newest_revision_ = std::max(newest_revision_, revision.get<uint64_t>());
  }

  void SendResult() {
    std::ranges::sort(nodes_, {},
                      [](const json& node) { return node["name"]; });
    const auto current = std::ranges::count_if(nodes_, [&](const json& node) {
      return node["revision"] == newest_revision_;
    });
    const auto silent = std::ranges::count_if(
        nodes_, [](const json& node) { return node["revision"].is_null(); });
    SendJson(reply_, {{"revision", newest_revision_},
                      {"nodes", nodes_},
                      {"current", current},
                      {"silent", silent}});
  }

  control_calls::ControlCaller& caller_;
  uint64_t own_revision_;
  net::Reply reply_;
  std::vector<Member> pending_;
  size_t calls_in_flight_ = 0;
  uint64_t newest_revision_ = 0;
  std::vector<json> nodes_;
};

}  // namespace

void HandleRevisions(const ManagedNode& node, net::Reply reply) {
  const uint64_t own_revision = node.configuration.local().head().revision;
  std::make_shared<RevisionSurvey>(node.caller, own_revision, std::move(reply))
      ->Run(node.self, node.members);
}

}  // namespace chestnutport::operators
