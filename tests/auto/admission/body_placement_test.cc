// Guards against request bodies that are sent to several gates in an overload:
// they use up narrow links, and small requests come too late. Simulates gates
// with the admission decisions of the product and counts the requests answered
// in time.
//
// The load exceeds the capacity by a sixth: 16 servers with four slots each, on
// VMs with links of 12 Mbit/s, get uploads of 60 kB and lookups that other
// servers wait for. A quarter of the VMs is slow at any time, and their gates
// return all requests that can be served elsewhere; the slots of the others are
// in use, so that about half of the requests are returned. Time is virtual and
// the random numbers are seeded.
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
constexpr Duration kHop = milliseconds(1);  // One-way delay between two nodes.
constexpr milliseconds kSlowPeriod(300);
constexpr double kSlowShare = 0.25;

struct RequestKind {
  double per_second = 0;
  double bytes = 0;
  milliseconds work{};
  milliseconds target{};
};

constexpr RequestKind kUpload{115, 60000, milliseconds(140), milliseconds(800)};
constexpr RequestKind kLookup{1300, 500, milliseconds(30), milliseconds(120)};

struct Request {
  const RequestKind* kind = nullptr;
  base::AttemptId id;
  Instant sent_at;
  int moves = 0;
};

struct Outcome {
  double uploads_in_time = 0;  // Share of the uploads requested.
  double lookups_in_time = 0;
  double bytes = 0;  // Bytes transmitted per upload.
};

class Simulation {
 public:
  Simulation(bool inquires, int moves_if_full, uint64_t seed)
      : inquires_(inquires), moves_if_full_(moves_if_full), random_(seed) {
    AdmissionOptions options;
    options.slots = kSlots;
    options.adaptive = false;
    for (int i = 0; i < kGates; ++i)
      gates_.emplace_back(options);
    GenerateRequests(kUpload);
    GenerateRequests(kLookup);
  }

  Outcome Run() {
    while (!events_.empty()) {
      auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    return {Share(kUpload), Share(kLookup),
            upload_bytes_ / requested_[&kUpload]};
  }

 private:
  struct Gate {
    explicit Gate(const AdmissionOptions& options) : admission(options) {}
    AdmissionController admission;
    Instant link_free_at = kStart;
    std::map<base::AttemptId, Request> requests;
  };

  double Share(const RequestKind& kind) {
    return in_time_[&kind] / requested_[&kind];
  }

  void After(Duration delay, std::function<void()> what) {
    events_.emplace(now_ + delay, std::move(what));
  }

  // Generates requests of one kind at random times.
  void GenerateRequests(const RequestKind& kind) {
    if (now_ > kStart + std::chrono::duration_cast<Duration>(kLength))
      return;
    Request request{&kind, {1, ++last_}, now_};
    requested_[&kind] += 1;
    Place(request);
    const Seconds gap(
        std::exponential_distribution<double>(kind.per_second)(random_));
    After(std::chrono::duration_cast<Duration>(gap),
          [&] { GenerateRequests(kind); });
  }

  void Place(Request request) {
    const auto index =
        std::uniform_int_distribution<size_t>(0, kGates - 1)(random_);
    request.id.sequence = ++last_;
    if (inquires_ && request.kind == &kUpload)
      After(kHop, [this, index, request] { Inquire(index, request); });
    else
      Transmit(index, request);
  }

  void Inquire(size_t index, const Request& request) {
    if (ShouldMoveElsewhere(index, request))
      After(kHop, [this, request] { MoveElsewhere(request); });
    else if (!gates_[index].admission.CheckRefusal(ToArrival(request), now_))
      After(kHop, [this, index, request] { Transmit(index, request); });
  }

  bool ShouldMoveElsewhere(size_t index, const Request& request) const {
    const bool is_full = !gates_[index].admission.HasCapacity(now_);
    return (IsSlow(index) &&
            request.moves < calls::kDefaultMoveLimits.if_degraded) ||
           (is_full && request.moves < moves_if_full_);
  }

  bool IsSlow(size_t index) const {
    const auto period = static_cast<uint64_t>((now_ - kStart) / kSlowPeriod);
    base::Random random(period * kGates + index);
    return std::bernoulli_distribution(kSlowShare)(random);
  }

  void MoveElsewhere(Request request) {
    ++request.moves;
    Place(request);
  }

  // All requests to a gate share its link.
  void Transmit(size_t index, const Request& request) {
    Gate& gate = gates_[index];
    const Seconds time(request.kind->bytes / kBytesPerSecond);
    gate.link_free_at = std::max(gate.link_free_at, now_) +
                        std::chrono::duration_cast<Duration>(time);
    if (request.kind == &kUpload)
      upload_bytes_ += request.kind->bytes;
    After(gate.link_free_at - now_ + kHop,
          [this, index, request] { Arrive(index, request); });
  }

  void Arrive(size_t index, const Request& request) {
    Gate& gate = gates_[index];
    const bool was_inquired = inquires_ && request.kind == &kUpload;
    if (!was_inquired && ShouldMoveElsewhere(index, request)) {
      After(kHop, [this, request] { MoveElsewhere(request); });
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
  std::map<const RequestKind*, double> requested_;
  std::map<const RequestKind*, double> in_time_;
  double upload_bytes_ = 0;
};

// Returns the mean over several seeds.
Outcome MeanOfSimulations(bool inquires, int moves_if_full) {
  constexpr int kSeeds = 6;
  Outcome mean;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = Simulation(inquires, moves_if_full, seed).Run();
    mean.uploads_in_time += one.uploads_in_time / kSeeds;
    mean.lookups_in_time += one.lookups_in_time / kSeeds;
    mean.bytes += one.bytes / kSeeds;
  }
  return mean;
}

TEST_CASE("uploads and lookups in an overload behind narrow links") {
  const int moves = calls::kDefaultMoveLimits.if_full;
  const Outcome sent = MeanOfSimulations(false, moves);
  const Outcome inquired = MeanOfSimulations(true, moves);
  INFO("sent at once: lookups " << sent.lookups_in_time << ", bytes "
                                << sent.bytes);
  INFO("asked first: lookups " << inquired.lookups_in_time << ", bytes "
                               << inquired.bytes);

  SECTION("a capacity inquiry first: a body is sent to one gate only") {
    CHECK(sent.bytes > 1.25 * kUpload.bytes);
    CHECK(inquired.bytes <= 1.05 * kUpload.bytes);
  }
  SECTION("and more lookups are answered in time") {
    CHECK(inquired.lookups_in_time > sent.lookups_in_time + 0.03);
    CHECK(inquired.uploads_in_time > sent.uploads_in_time - 0.02);
  }
  SECTION("more moves while all servers are full: more requests are late") {
    const Outcome often = MeanOfSimulations(true, 3);
    INFO("three moves: lookups " << often.lookups_in_time);
    CHECK(inquired.lookups_in_time > often.lookups_in_time + 0.02);
    CHECK(inquired.uploads_in_time > often.uploads_in_time - 0.02);
  }
}

}  // namespace
}  // namespace chestnutport::admission
