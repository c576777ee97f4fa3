// Confirmations by several operators at once, against a store that loses,
// delays and repeats: what the operators are told is true.
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

// A store with one head, which keeps all its past so that it can be read late.
struct FakeStore {
  std::vector<StoredHead> past = {StoredHead{}};
  std::set<std::string> documents;

  const StoredHead& now() const { return past.back(); }
  bool Swap(const SwapHead& swap) {
    if (swap.expected_store_revision != now().store_revision)
      return false;
    past.push_back({swap.head, now().store_revision + 1});
    return true;
  }
};

// Says "not confirmed" as soon as an answer is lost.
class Hasty : public ConfirmProcedure {
 public:
  using ConfirmProcedure::ConfirmProcedure;
  ConfirmStep OnSwap(base::Instant now, const base::Result<bool>& swapped) {
    if (!swapped)
      return Finish{ConfirmOutcome::kUnavailable, 0, {}};
    return ConfirmProcedure::OnSwap(now, swapped);
  }
};

// Takes a lost answer for a success.
class Trusting : public ConfirmProcedure {
 public:
  using ConfirmProcedure::ConfirmProcedure;
  ConfirmStep OnSwap(base::Instant now, const base::Result<bool>& swapped) {
    return ConfirmProcedure::OnSwap(now, swapped ? swapped : true);
  }
};

// Operators that take turns at random, one step of one operator at a time.
template <typename Procedure>
class Race {
 public:
  explicit Race(uint64_t seed) : random_(seed) {}

  // The first untruth, or nothing.
  std::optional<std::string> Run() {
    for (int i = 0; i < kOperators; ++i)
      Add(i);
    while (!running_.empty()) {
      now_ += std::chrono::milliseconds(Draw(300));
      if (!late_.empty() && Draw(4) == 0)
        RunLate();
      const size_t turn = Draw(running_.size());
      Step(turn);
    }
    while (!late_.empty())
      RunLate();
    return FindUntruth();
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

  void Step(size_t turn) {
    Operator& self = running_[turn];
    if (const auto* finish = std::get_if<Finish>(&self.next)) {
      told_.push_back({self.plan, *finish});
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(turn));
      return;
    }
    self.next =
        std::visit([&](auto& step) { return Act(self, step); }, self.next);
  }

  ConfirmStep Act(Operator& self, const ReadHead&) {
    if (Draw(6) == 0) {
      const base::Result<StoredHead> error =
          make_error_code(ErrorKind::kStoreUnavailable);
      return self.procedure.OnHead(now_, error, local_, 0);
    }
    // Sometimes an old reading.
    const size_t back = Draw(5) == 0 ? Draw(store_.past.size()) : 0;
    const base::Result<StoredHead> stored =
        store_.past[store_.past.size() - 1 - back];
    return self.procedure.OnHead(now_, stored, local_, 0);
  }

  ConfirmStep Act(Operator& self, const WriteDocuments& step) {
    const bool lost = Draw(6) == 0;
    for (const auto& [hash, text] : step.documents) {
      if (!lost || Draw(2) == 0)
        store_.documents.insert(hash);
    }
    return self.procedure.OnDocuments(now_, !lost);
  }

  ConfirmStep Act(Operator& self, const SwapHead& step) {
    const base::Result<bool> lost =
        make_error_code(ErrorKind::kStoreOutcomeUnknown);
    switch (Draw(7)) {
      case 0:  // Never sent.
        return self.procedure.OnSwap(
            now_, make_error_code(ErrorKind::kStoreUnavailable));
      case 1:  // The request is lost.
        return self.procedure.OnSwap(now_, lost);
      case 2:  // The answer is lost.
        store_.Swap(step);
        return self.procedure.OnSwap(now_, lost);
      case 3:  // It takes effect much later.
        late_.push_back(step);
        return self.procedure.OnSwap(now_, lost);
      case 4: {  // It arrives twice, and the first answer is lost.
        store_.Swap(step);
        return self.procedure.OnSwap(now_, store_.Swap(step));
      }
      default:
        return self.procedure.OnSwap(now_, store_.Swap(step));
    }
  }

  ConfirmStep Act(Operator& self, const Backoff& step) {
    now_ += step.duration / 4;
    return self.procedure.OnBackoffElapsed();
  }

  ConfirmStep Act(Operator&, const Finish& step) { return step; }

  void RunLate() {
    store_.Swap(late_.front());
    late_.pop_front();
  }

  std::optional<std::string> FindUntruth() const {
    std::set<std::string> plans;
    for (size_t i = 1; i < store_.past.size(); ++i) {
      const Head& head = store_.past[i].head;
      if (head.revision != store_.past[i - 1].head.revision + 1)
        return "a revision was skipped, repeated or went back";
      for (const auto& [service, hash] : head.manifest) {
        if (!store_.documents.contains(hash))
          return "a head names a document that is not there";
      }
      if (!plans.insert(head.LastConfirmation()->plan_id).second)
        return "a plan was confirmed twice";
    }
    for (const auto& [plan, finish] : told_) {
      const bool confirmed = plans.contains(plan);
      const bool said_yes = finish.outcome == ConfirmOutcome::kConfirmed ||
                            finish.outcome == ConfirmOutcome::kAlreadyConfirmed;
      const bool said_no = finish.outcome == ConfirmOutcome::kStale ||
                           finish.outcome == ConfirmOutcome::kUnavailable;
      if (said_yes && !confirmed)
        return "confirmed was said of a plan that is not";
      if (said_no && confirmed && !AnotherConfirmed(plan))
        return "not confirmed was said of a plan that is";
    }
    return std::nullopt;
  }

  // Two operators may send the same plan: one may give up before the other
  // confirms it.
  bool AnotherConfirmed(const std::string& plan) const {
    const auto sent = std::ranges::count_if(
        told_, [&](const auto& told) { return told.first == plan; });
    return sent > 1;
  }

  base::Random random_;
  base::Instant now_;
  FakeStore store_;
  Head local_;
  std::deque<SwapHead> late_;
  std::vector<Operator> running_;
  std::vector<std::pair<std::string, Finish>> told_;
};

template <typename Procedure>
bool IsCaughtLying() {
  for (uint64_t seed = 0; seed < 500; ++seed) {
    if (Race<Procedure>(seed).Run())
      return true;
  }
  return false;
}

TEST_CASE("racing operators are told the truth") {
  rc::prop("whatever the store loses, delays or repeats", [] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto untruth = Race<ConfirmProcedure>(seed).Run();
    if (untruth)
      RC_FAIL(*untruth);
  });
  SECTION("which procedures without reading back are not") {
    CHECK(IsCaughtLying<Hasty>());
    CHECK(IsCaughtLying<Trusting>());
  }
}

TEST_CASE("one confirmation, step by step") {
  const declarations::DeclarationTexts texts = {{"a", "1"}};
  const base::Instant start;
  const base::Instant late = start + std::chrono::seconds(9);
  ConfirmRequest request{0, PlanId(0, texts), "alice", "t", texts};
  ConfirmProcedure procedure(request, start + std::chrono::seconds(8));
  REQUIRE(std::holds_alternative<ReadHead>(procedure.Start()));
  const auto outcome = [](const ConfirmStep& step) {
    return std::get<Finish>(step).outcome;
  };

  SECTION("a store that never answers: nothing was changed") {
    const base::Result<StoredHead> down =
        make_error_code(ErrorKind::kStoreUnavailable);
    REQUIRE(
        std::holds_alternative<Backoff>(procedure.OnHead(start, down, {}, 0)));
    CHECK(outcome(procedure.OnHead(late, down, {}, 0)) ==
          ConfirmOutcome::kUnavailable);
  }
  SECTION("a node that heard of a newer revision waits for it") {
    CHECK(std::holds_alternative<Backoff>(
        procedure.OnHead(start, StoredHead{}, {}, 1)));
    Head newer = NextHead({}, {}, {.plan_id = "other"});
    CHECK(outcome(procedure.OnHead(start, StoredHead{}, newer, 1)) ==
          ConfirmOutcome::kStale);
  }
  SECTION("a plan that others confirmed upon is found in the history") {
    Head head = NextHead({}, MakeManifest(texts), {.plan_id = request.plan_id});
    head = NextHead(head, {}, {.plan_id = "other"});
    const ConfirmStep step =
        procedure.OnHead(start, StoredHead{head, 2}, {}, 0);
    CHECK(outcome(step) == ConfirmOutcome::kAlreadyConfirmed);
    CHECK(std::get<Finish>(step).revision == 1);
  }
  SECTION("once it is sent") {
    const ConfirmStep write = procedure.OnHead(start, StoredHead{}, {}, 0);
    REQUIRE(std::get<WriteDocuments>(write).documents.size() == 1);
    const ConfirmStep swap = procedure.OnDocuments(start, true);
    REQUIRE(std::get<SwapHead>(swap).head.revision == 1);
    const base::Result<bool> lost =
        make_error_code(ErrorKind::kStoreOutcomeUnknown);

    SECTION("a lost answer is resolved by reading back") {
      REQUIRE(std::holds_alternative<Backoff>(procedure.OnSwap(start, lost)));
      const StoredHead mine{std::get<SwapHead>(swap).head, 1};
      CHECK(outcome(procedure.OnHead(start, mine, {}, 0)) ==
            ConfirmOutcome::kConfirmed);
    }
    SECTION("if that fails too, the operator is told that it is unknown") {
      CHECK(outcome(procedure.OnSwap(late, lost)) == ConfirmOutcome::kUnknown);
    }
    SECTION("another's revision in its place is told with what changed") {
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
