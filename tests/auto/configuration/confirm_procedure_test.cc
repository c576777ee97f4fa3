// Several operators confirm concurrently, against a store that loses, delays
// and repeats requests. Guards against reporting a wrong outcome to an
// operator.
#include "configuration/confirm_procedure.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <set>

#include "base/random.h"
#include "configuration/plan.h"

namespace chestnutport::configuration {
namespace {

using base::ErrorKind;
using base::make_error_code;

// A store with one head. Keeps all versions to simulate stale reads.
struct FakeStore {
  std::vector<StoredHead> versions = {StoredHead{}};
  std::set<std::string> documents;

  const StoredHead& latest() const { return versions.back(); }
  bool Swap(const SwapHead& swap) {
    if (swap.expected_store_revision != latest().store_revision)
      return false;
    versions.push_back({swap.head, latest().store_revision + 1});
    return true;
  }
};

// Faulty procedure that reports failure as soon as a response is lost.
class FailingOnLostResponse : public ConfirmProcedure {
 public:
  using ConfirmProcedure::ConfirmProcedure;
  ConfirmStep OnSwap(base::Instant now, const base::Result<bool>& swapped) {
    if (!swapped)
      return Finish{ConfirmOutcome::kUnavailable, 0, {}};
    return ConfirmProcedure::OnSwap(now, swapped);
  }
};

// Faulty procedure that treats a lost response as success.
class SucceedingOnLostResponse : public ConfirmProcedure {
 public:
  using ConfirmProcedure::ConfirmProcedure;
  ConfirmStep OnSwap(base::Instant now, const base::Result<bool>& swapped) {
    return ConfirmProcedure::OnSwap(now, swapped ? swapped : true);
  }
};

// Runs several operators concurrently: executes one step of a random operator
// at a time.
template <typename Procedure>
class ConcurrentOperators {
 public:
  explicit ConcurrentOperators(uint64_t seed) : random_(seed) {}

  // Returns the first violation, or nothing.
  std::optional<std::string> Run() {
    for (int i = 0; i < kOperators; ++i)
      Add(i);
    while (!running_.empty()) {
      now_ += std::chrono::milliseconds(Draw(300));
      if (!delayed_swaps_.empty() && Draw(4) == 0)
        ApplyDelayedSwap();
      const size_t index = Draw(running_.size());
      Step(index);
    }
    while (!delayed_swaps_.empty())
      ApplyDelayedSwap();
    return FindViolation();
  }

 private:
  static constexpr int kOperators = 4;

  struct Operator {
    Procedure procedure;
    ConfirmStep next;
    std::string plan;
  };

  size_t Draw(size_t below) { return random_() % below; }

  void Add(int i) {
    // Some of the plans have the same base and content.
    const declarations::DeclarationTexts texts = {
        {"a", std::to_string(Draw(3))}};
    ConfirmRequest request{Draw(2), "", std::to_string(i), "", texts};
    request.plan_id = PlanId(request.base_revision, texts);
    Procedure procedure(request, now_ + std::chrono::seconds(2));
    const ConfirmStep first = procedure.Start();
    running_.push_back({procedure, first, request.plan_id});
  }

  void Step(size_t index) {
    Operator& self = running_[index];
    if (const auto* finish = std::get_if<Finish>(&self.next)) {
      finished_.push_back({self.plan, *finish});
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
      return;
    }
    self.next =
        std::visit([&](auto& step) { return Execute(self, step); }, self.next);
  }

  ConfirmStep Execute(Operator& self, const ReadHead&) {
    if (Draw(6) == 0) {
      const base::Result<StoredHead> error =
          make_error_code(ErrorKind::kStoreUnavailable);
      return self.procedure.OnHead(now_, error, local_, 0);
    }
    // Some reads are stale.
    const size_t age = Draw(5) == 0 ? Draw(store_.versions.size()) : 0;
    const base::Result<StoredHead> stored =
        store_.versions[store_.versions.size() - 1 - age];
    return self.procedure.OnHead(now_, stored, local_, 0);
  }

  ConfirmStep Execute(Operator& self, const WriteDocuments& step) {
    const bool lost = Draw(6) == 0;
    for (const auto& [hash, text] : step.documents) {
      if (!lost || Draw(2) == 0)
        store_.documents.insert(hash);
    }
    return self.procedure.OnDocuments(now_, !lost);
  }

  ConfirmStep Execute(Operator& self, const SwapHead& step) {
    const base::Result<bool> lost =
        make_error_code(ErrorKind::kStoreOutcomeUnknown);
    switch (Draw(7)) {
      case 0:  // Never sent.
        return self.procedure.OnSwap(
            now_, make_error_code(ErrorKind::kStoreUnavailable));
      case 1:  // The request is lost.
        return self.procedure.OnSwap(now_, lost);
      case 2:  // The response is lost.
        store_.Swap(step);
        return self.procedure.OnSwap(now_, lost);
      case 3:  // The request takes effect much later.
        delayed_swaps_.push_back(step);
        return self.procedure.OnSwap(now_, lost);
      case 4: {  // The request arrives twice, and the first response is lost.
        store_.Swap(step);
        return self.procedure.OnSwap(now_, store_.Swap(step));
      }
      default:
        return self.procedure.OnSwap(now_, store_.Swap(step));
    }
  }

  ConfirmStep Execute(Operator& self, const Backoff& step) {
    now_ += step.duration / 4;
    return self.procedure.OnBackoffElapsed();
  }

  ConfirmStep Execute(Operator&, const Finish& step) { return step; }

  void ApplyDelayedSwap() {
    store_.Swap(delayed_swaps_.front());
    delayed_swaps_.pop_front();
  }

  std::optional<std::string> FindViolation() const {
    std::set<std::string> plans;
    for (size_t i = 1; i < store_.versions.size(); ++i) {
      const Head& head = store_.versions[i].head;
      if (head.revision != store_.versions[i - 1].head.revision + 1)
        return "a revision was skipped, repeated or went back";
      for (const auto& [service, hash] : head.manifest) {
        if (!store_.documents.contains(hash))
          return "a head names a document that is missing";
      }
      if (!plans.insert(head.LastConfirmation()->plan_id).second)
        return "a plan was confirmed twice";
    }
    for (const auto& [plan, finish] : finished_) {
      const bool confirmed = plans.contains(plan);
      const bool reported_confirmed =
          finish.outcome == ConfirmOutcome::kConfirmed ||
          finish.outcome == ConfirmOutcome::kAlreadyConfirmed;
      const bool reported_failed =
          finish.outcome == ConfirmOutcome::kStale ||
          finish.outcome == ConfirmOutcome::kUnavailable;
      if (reported_confirmed && !confirmed)
        return "reported as confirmed, but is not";
      if (reported_failed && confirmed && !IsSentByAnother(plan))
        return "reported as not confirmed, but is";
    }
    return std::nullopt;
  }

  // Two operators may send the same plan, and one may give up before the other
  // confirms it.
  bool IsSentByAnother(const std::string& plan) const {
    const auto sent = std::ranges::count_if(
        finished_,
        [&](const auto& finished) { return finished.first == plan; });
    return sent > 1;
  }

  base::Random random_;
  base::Instant now_;
  FakeStore store_;
  Head local_;
  std::deque<SwapHead> delayed_swaps_;
  std::vector<Operator> running_;
  std::vector<std::pair<std::string, Finish>> finished_;
};

template <typename Procedure>
bool DetectsViolation() {
  for (uint64_t seed = 0; seed < 500; ++seed) {
    if (ConcurrentOperators<Procedure>(seed).Run())
      return true;
  }
  return false;
}

TEST_CASE("concurrent confirmations report the actual outcome") {
  rc::prop("if the store loses, delays or repeats requests", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto violation = ConcurrentOperators<ConfirmProcedure>(seed).Run();
    if (violation)
      RC_FAIL(*violation);
  });
  SECTION("the property detects procedures that do not read back") {
    CHECK(DetectsViolation<FailingOnLostResponse>());
    CHECK(DetectsViolation<SucceedingOnLostResponse>());
  }
}

TEST_CASE("steps of one confirmation") {
  const declarations::DeclarationTexts texts = {{"a", "1"}};
  const base::Instant start;
  const base::Instant late = start + std::chrono::seconds(9);
  ConfirmRequest request{0, PlanId(0, texts), "alice", "t", texts};
  ConfirmProcedure procedure(request, start + std::chrono::seconds(8));
  REQUIRE(std::holds_alternative<ReadHead>(procedure.Start()));
  const auto outcome = [](const ConfirmStep& step) {
    return std::get<Finish>(step).outcome;
  };

  SECTION("reports an unavailable store if it never responds") {
    const base::Result<StoredHead> down =
        make_error_code(ErrorKind::kStoreUnavailable);
    REQUIRE(
        std::holds_alternative<Backoff>(procedure.OnHead(start, down, {}, 0)));
    CHECK(outcome(procedure.OnHead(late, down, {}, 0)) ==
          ConfirmOutcome::kUnavailable);
  }
  SECTION("waits for a newer revision that was reported") {
    CHECK(std::holds_alternative<Backoff>(
        procedure.OnHead(start, StoredHead{}, {}, 1)));
    Head newer = NextHead({}, {}, {.plan_id = "other"});
    CHECK(outcome(procedure.OnHead(start, StoredHead{}, newer, 1)) ==
          ConfirmOutcome::kStale);
  }
  SECTION("finds the plan in the history after later confirmations") {
    Head head = NextHead({}, MakeManifest(texts), {.plan_id = request.plan_id});
    head = NextHead(head, {}, {.plan_id = "other"});
    const ConfirmStep step =
        procedure.OnHead(start, StoredHead{head, 2}, {}, 0);
    CHECK(outcome(step) == ConfirmOutcome::kAlreadyConfirmed);
    CHECK(std::get<Finish>(step).revision == 1);
  }
  SECTION("after the swap was sent") {
    const ConfirmStep write = procedure.OnHead(start, StoredHead{}, {}, 0);
    REQUIRE(std::get<WriteDocuments>(write).documents.size() == 1);
    const ConfirmStep swap = procedure.OnDocuments(start, true);
    REQUIRE(std::get<SwapHead>(swap).head.revision == 1);
    const base::Result<bool> lost =
        make_error_code(ErrorKind::kStoreOutcomeUnknown);

    SECTION("resolves a lost response by reading back") {
      REQUIRE(std::holds_alternative<Backoff>(procedure.OnSwap(start, lost)));
      const StoredHead mine{std::get<SwapHead>(swap).head, 1};
      CHECK(outcome(procedure.OnHead(start, mine, {}, 0)) ==
            ConfirmOutcome::kConfirmed);
    }
    SECTION("reports an unknown outcome if the deadline passes before that") {
      CHECK(outcome(procedure.OnSwap(late, lost)) == ConfirmOutcome::kUnknown);
    }
    SECTION("reports a stale plan if another revision took its place") {
      procedure.OnSwap(start, lost);
      const Head other = NextHead({}, {}, {.plan_id = "other"});
      const ConfirmStep step =
          procedure.OnHead(start, StoredHead{other, 1}, {}, 0);
      CHECK(outcome(step) == ConfirmOutcome::kStale);
      CHECK(std::get<Finish>(step).head.revision == 1);
    }
  }
}

}  // namespace
}  // namespace chestnutport::configuration
