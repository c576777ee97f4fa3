// Plays large requests and small ones at gates behind narrow links, and counts
// what callers get, with the decisions that the gates use.
//
// The load is a rush, a sixth more than can be served, at a service of 16
// servers with four usable slots each, whose VMs have links of 12 Mbit/s:
// uploads of 60 kB, and lookups for which other servers wait. A quarter of the
// VMs is slow at a time, in spells, and takes nothing that can go elsewhere;
// the slots of the others are in use, so that a request is handed back as often
// as not. All times are virtual, and the random numbers are seeded.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "admission/admission_controller.h"
#include "base/random.h"
#include "calls/move_limits.h"

namespace chestnutport::admission {
namespace {

using base::Duration;
using base::Instant;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr Instant kStart = Instant(std::chrono::hours(1));
constexpr Seconds kLength(20);
constexpr int kGates = 16;
constexpr int kSlots = 4;
constexpr double kBytesPerSecond = 12e6 / 8;
constexpr Duration kHop = milliseconds(1);  // Between two nodes, one way.
constexpr milliseconds kSpell(300);
constexpr double kSlowShare = 0.25;

struct Kind {
  double per_second = 0;
  double bytes = 0;
  milliseconds work{};
  milliseconds target{};
};

constexpr Kind kUpload{115, 60000, milliseconds(140), milliseconds(800)};
constexpr Kind kLookup{1300, 500, milliseconds(30), milliseconds(120)};

struct Request {
  const Kind* kind = nullptr;
  base::AttemptId id;
  Instant sent_at;
  int moves = 0;
};

struct Outcome {
  double uploads_in_time = 0;  // Share of those asked for.
  double lookups_in_time = 0;
  double bytes = 0;  // Carried for each upload.
};

class Play {
 public:
  Play(bool inquires, int moves_if_full, uint64_t seed)
      : inquires_(inquires), moves_if_full_(moves_if_full), random_(seed) {
    AdmissionOptions options;
    options.slots = kSlots;
    options.adaptive = false;
    for (int i = 0; i < kGates; ++i)
      gates_.emplace_back(options);
    Ask(kUpload);
    Ask(kLookup);
  }

  Outcome Run() {
    while (!events_.empty()) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return {Share(kUpload), Share(kLookup), carried_ / asked_[&kUpload]};
  }

 private:
  struct Gate {
    explicit Gate(const AdmissionOptions& options) : admission(options) {}
    AdmissionController admission;
    Instant link_free_at = kStart;
    std::map<base::AttemptId, Request> requests;
  };

  double Share(const Kind& kind) { return in_time_[&kind] / asked_[&kind]; }

  void After(Duration delay, std::function<void()> what) {
    events_.emplace(now_ + delay, std::move(what));
  }

  // Requests of a kind, one after the other.
  void Ask(const Kind& kind) {
    if (now_ > kStart + std::chrono::duration_cast<Duration>(kLength))
      return;
    Request request{&kind, {1, ++last_}, now_};
    asked_[&kind] += 1;
    Place(request);
    const Seconds gap(
        std::exponential_distribution<double>(kind.per_second)(random_));
    After(std::chrono::duration_cast<Duration>(gap), [&] { Ask(kind); });
  }

  void Place(Request request) {
    const auto index =
        std::uniform_int_distribution<size_t>(0, kGates - 1)(random_);
    request.id.sequence = ++last_;
    if (inquires_ && request.kind == &kUpload)
      After(kHop, [this, index, request] { Inquire(index, request); });
    else
      Carry(index, request);
  }

  void Inquire(size_t index, const Request& request) {
    if (HandsBack(index, request))
      After(kHop, [this, request] { Move(request); });
    else if (!gates_[index].admission.CheckRefusal(ToArrival(request), now_))
      After(kHop, [this, index, request] { Carry(index, request); });
  }

  bool HandsBack(size_t index, const Request& request) const {
    const bool is_full = !gates_[index].admission.HasCapacity(now_);
    return (IsSlow(index) && request.moves < calls::kUsualMoves.if_poor) ||
           (is_full && request.moves < moves_if_full_);
  }

  bool IsSlow(size_t index) const {
    const auto spell = static_cast<uint64_t>((now_ - kStart) / kSpell);
    base::Random random(spell * kGates + index);
    return std::bernoulli_distribution(kSlowShare)(random);
  }

  void Move(Request request) {
    ++request.moves;
    Place(request);
  }

  // The bytes of all requests to a gate share its link.
  void Carry(size_t index, const Request& request) {
    Gate& gate = gates_[index];
    const Seconds time(request.kind->bytes / kBytesPerSecond);
    gate.link_free_at = std::max(gate.link_free_at, now_) +
                        std::chrono::duration_cast<Duration>(time);
    if (request.kind == &kUpload)
      carried_ += request.kind->bytes;
    After(gate.link_free_at - now_ + kHop,
          [this, index, request] { Arrive(index, request); });
  }

  void Arrive(size_t index, const Request& request) {
    Gate& gate = gates_[index];
    const bool was_asked = inquires_ && request.kind == &kUpload;
    if (!was_asked && HandsBack(index, request)) {
      After(kHop, [this, request] { Move(request); });
      return;
    }
    gate.requests[request.id] = request;
    Perform(index, gate.admission.Arrive(ToArrival(request), now_));
  }

  static Arrival ToArrival(const Request& request) {
    return {request.id, "", request.kind == &kUpload ? "urgent" : "other",
            request.sent_at + 3 * request.kind->target,
            request.sent_at + request.kind->target};
  }

  void Perform(size_t index, const AdmissionActions& actions) {
    Gate& gate = gates_[index];
    for (const AdmissionAction& action : actions) {
      const auto found = gate.requests.extract(action.attempt);
      if (found.empty() || action.kind == ActionKind::kRefuse)
        continue;
      const Request request = found.mapped();
      After(request.kind->work, [this, index, request] {
        in_time_[request.kind] +=
            now_ + kHop - request.sent_at <= request.kind->target ? 1 : 0;
        Perform(index, gates_[index].admission.Finish(request.id, now_));
      });
    }
  }

  bool inquires_;
  int moves_if_full_;
  Instant now_ = kStart;
  base::Random random_;
  uint64_t last_ = 0;
  std::vector<Gate> gates_;
  std::multimap<Instant, std::function<void()>> events_;
  std::map<const Kind*, double> asked_;
  std::map<const Kind*, double> in_time_;
  double carried_ = 0;
};

// The mean of several plays.
Outcome PlayAll(bool inquires, int moves_if_full) {
  constexpr int kSeeds = 6;
  Outcome mean;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = Play(inquires, moves_if_full, seed).Run();
    mean.uploads_in_time += one.uploads_in_time / kSeeds;
    mean.lookups_in_time += one.lookups_in_time / kSeeds;
    mean.bytes += one.bytes / kSeeds;
  }
  return mean;
}

TEST_CASE("uploads and lookups in a rush behind narrow links") {
  const int moves = calls::kUsualMoves.if_full;
  const Outcome sent = PlayAll(false, moves);
  const Outcome asked = PlayAll(true, moves);
  INFO("sent at once: lookups " << sent.lookups_in_time << ", bytes "
                                << sent.bytes);
  INFO("asked first: lookups " << asked.lookups_in_time << ", bytes "
                               << asked.bytes);

  SECTION("a body goes to one gate if that is asked for a place first") {
    CHECK(sent.bytes > 1.25 * kUpload.bytes);
    CHECK(asked.bytes <= 1.05 * kUpload.bytes);
  }
  SECTION("which leaves the links to what other servers wait for") {
    CHECK(asked.lookups_in_time > sent.lookups_in_time + 0.03);
    CHECK(asked.uploads_in_time > sent.uploads_in_time - 0.02);
  }
  SECTION("requests that move on more often while all are full come too late") {
    const Outcome often = PlayAll(true, 3);
    INFO("three moves: lookups " << often.lookups_in_time);
    CHECK(asked.lookups_in_time > often.lookups_in_time + 0.02);
    CHECK(asked.uploads_in_time > often.uploads_in_time - 0.02);
  }
}

}  // namespace
}  // namespace chestnutport::admission
