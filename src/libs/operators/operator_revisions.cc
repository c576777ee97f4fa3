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

using configuration::FetchAnswer;
using configuration::FetchRequest;
using membership::Member;
using nlohmann::json;

constexpr size_t kAskedAtOnce = 64;
constexpr base::Duration kTimeout = std::chrono::seconds(2);

// Asks every member for its revision, some at a time, and answers once all
// have answered or were given up. Lives until then.
class RevisionSurvey : public std::enable_shared_from_this<RevisionSurvey> {
 public:
  RevisionSurvey(control_calls::ControlCaller& caller,
                 uint64_t own,
                 net::Reply reply)
      : caller_(caller), own_(own), reply_(std::move(reply)) {}

  void Run(const Member& self, const std::vector<Member>& members) {
    Add(self, own_);
    for (const Member& member : members) {
      if (member.id != self.id &&
          member.state != membership::MemberState::kGone) {
        waiting_.push_back(member);
      }
    }
    AskSome();
  }

 private:
  void AskSome() {
    while (asked_ < kAskedAtOnce && !waiting_.empty()) {
      Ask(waiting_.back());
      waiting_.pop_back();
    }
    if (asked_ == 0)
      End();
  }

  void Ask(const Member& member) {
    ++asked_;
    // Nothing is sent along with what this node holds already.
    const FetchRequest request{UINT64_MAX};
    caller_.Call(
        member.control_address, configuration::kFetchMethod, request.ToJson(),
        kTimeout, [survey = shared_from_this(), member](const auto& text) {
          const auto answer =
              text ? FetchAnswer::FromJson(text.value()) : std::nullopt;
          survey->Add(member, answer ? json(answer->revision) : json(nullptr));
          --survey->asked_;
          survey->AskSome();
        });
  }

  void Add(const Member& member, const json& revision) {
    nodes_.push_back({{"node", member.id.ToString()},
                      {"name", member.name},
                      {"data_centre", member.data_centre},
                      {"revision", revision}});
    if (revision.is_number())
      newest_ = std::max(newest_, revision.get<uint64_t>());
  }

  void End() {
    std::ranges::sort(nodes_, {},
                      [](const json& node) { return node["name"]; });
    const auto current = std::ranges::count_if(
        nodes_, [&](const json& node) { return node["revision"] == newest_; });
    const auto silent = std::ranges::count_if(
        nodes_, [](const json& node) { return node["revision"].is_null(); });
    SendJson(reply_, {{"revision", newest_},
                      {"nodes", nodes_},
                      {"current", current},
                      {"silent", silent}});
  }

  control_calls::ControlCaller& caller_;
  uint64_t own_;
  net::Reply reply_;
  std::vector<Member> waiting_;
  size_t asked_ = 0;
  uint64_t newest_ = 0;
  std::vector<json> nodes_;
};

}  // namespace

void HandleRevisions(const ManagedNode& node, net::Reply reply) {
  const uint64_t own = node.configuration.held().head().revision;
  std::make_shared<RevisionSurvey>(node.caller, own, std::move(reply))
      ->Run(node.self, node.members);
}

}  // namespace chestnutport::operators
