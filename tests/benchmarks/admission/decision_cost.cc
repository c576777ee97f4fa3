#include "admission/decision_cost.h"

#include <atomic>
#include <cstdlib>
#include <new>
#include <optional>
#include <string>
#include <vector>

#include "admission/admission_controller.h"

namespace {

std::atomic<uint64_t> g_allocations = 0;

}  // namespace

void* operator new(size_t size) {
  ++g_allocations;
  if (void* place = std::malloc(size))
    return place;
  throw std::bad_alloc();
}

void operator delete(void* place) noexcept {
  std::free(place);
}

void operator delete(void* place, size_t /*size*/) noexcept {
  std::free(place);
}

namespace chestnutport::bench {
namespace {

using base::AttemptId;
using base::Instant;

constexpr int kTenants = 16;
constexpr uint64_t kWarmUp = 100000;
constexpr uint64_t kRounds = 200000;
constexpr std::chrono::microseconds kStep(100);

// In each round one request ends and one arrives.
class Rounds {
 public:
  Rounds(int queued, std::optional<double> stated_rate)
      : admission_(Options(queued)) {
    admission_.SetStatedRate(stated_rate, now_);
    for (int i = 0; i < kTenants; ++i)
      tenants_.push_back("tenant-" + std::to_string(i));
    for (int i = 0; i < queued + Options(queued).slots; ++i)
      Arrive();
    if (queued == 0)
      Finish();
  }

  void Run(uint64_t rounds) {
    for (uint64_t i = 0; i < rounds; ++i) {
      now_ += kStep;
      Arrive();
      Finish();
    }
  }

 private:
  static admission::AdmissionOptions Options(int queued) {
    admission::AdmissionOptions options;
    options.queue = queued + 1;
    options.ledger.max_finished = 8192;
    options.adaptive = false;
    return options;
  }

  void Arrive() {
    const AttemptId id{1, ++last_};
    const auto& tenant = tenants_[last_ % kTenants];
    RecordStarts(admission_.Arrive(
        {id, tenant, "", now_ + std::chrono::hours(1)}, now_));
  }

  void Finish() {
    const AttemptId id = running_[first_running_++ % running_.size()];
    RecordStarts(admission_.Finish(id, now_));
  }

  void RecordStarts(const admission::AdmissionActions& actions) {
    for (const auto& action : actions)
      running_[next_running_++ % running_.size()] = action.attempt;
  }

  admission::AdmissionController admission_;
  std::vector<std::string> tenants_;
  std::vector<AttemptId> running_ = std::vector<AttemptId>(64);
  size_t first_running_ = 0;
  size_t next_running_ = 0;
  Instant now_{std::chrono::hours(1)};
  uint64_t last_ = 0;
};

}  // namespace

DecisionCost MeasureDecisionCost(int queued,
                                 std::optional<double> stated_rate) {
  Rounds rounds(queued, stated_rate);
  rounds.Run(kWarmUp);
  const uint64_t allocations = g_allocations;
  const auto begin = std::chrono::steady_clock::now();
  rounds.Run(kRounds);
  const std::chrono::duration<double, std::nano> time =
      std::chrono::steady_clock::now() - begin;
  return {time.count() / kRounds,
          static_cast<double>(g_allocations - allocations) / kRounds};
}

}  // namespace chestnutport::bench
