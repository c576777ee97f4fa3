#include "path/load_run.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "http_client/http_client.h"
#include "net/event_loop.h"

namespace chestnutport::bench {
namespace {

using std::chrono::microseconds;

constexpr std::chrono::seconds kTimeout(10);
constexpr int kOk = 200;

class LoadRun {
 public:
  LoadRun(const std::vector<Way>& ways, double rate, int calls)
      : ways_(ways),
        interval_(std::chrono::duration_cast<base::Duration>(
            std::chrono::duration<double>(1 / rate))),
        left_(static_cast<size_t>(calls) * ways.size()),
        results_(ways.size()),
        next_at_(base::Clock::now()) {}

  std::vector<WayResult> Run() {
    SendDue();
    loop_.Run();
    for (WayResult& result : results_)
      std::ranges::sort(result.latencies);
    return std::move(results_);
  }

 private:
  // Open loop: a late answer does not put off the next call.
  void SendDue() {
    const base::Instant now = base::Clock::now();
    for (; sent_ < left_ && next_at_ <= now; next_at_ += interval_)
      SendOne(sent_++ % ways_.size());
    if (sent_ < left_)
      loop_.CallAt(next_at_, [this] { SendDue(); });
  }

  void SendOne(size_t way) {
    const base::Instant sent_at = base::Clock::now();
    client_.Send(
        ways_[way].address,
        {.method = "GET",
         .target = "/dossie/1",
         .headers = {{"X-Request-Id", absl::StrCat("bench", sent_)}}},
        kTimeout,
        [this, way, sent_at](const http_client::TransferResult& result) {
          Note(results_[way], result, base::Clock::now() - sent_at);
        });
  }

  void Note(WayResult& way,
            const http_client::TransferResult& result,
            base::Duration latency) {
    if (result.end == http_client::TransferEnd::kComplete &&
        result.answer.status == kOk) {
      way.latencies.push_back(
          std::chrono::duration_cast<microseconds>(latency));
    } else {
      ++way.failed;
    }
    if (++done_ == left_)
      loop_.Stop();
  }

  std::vector<Way> ways_;
  base::Duration interval_;
  size_t left_;
  std::vector<WayResult> results_;
  base::Instant next_at_;
  size_t sent_ = 0;
  size_t done_ = 0;
  net::EventLoop loop_;
  http_client::HttpClient client_{loop_, http_client::HttpClientOptions{}};
};

}  // namespace

std::chrono::microseconds WayResult::Percentile(double share) const {
  if (latencies.empty())
    return {};
  const auto rank =
      static_cast<size_t>(share * static_cast<double>(latencies.size() - 1));
  return latencies[rank];
}

std::vector<WayResult> RunLoad(const std::vector<Way>& ways,
                               double rate,
                               int calls) {
  return LoadRun(ways, rate, calls).Run();
}

}  // namespace chestnutport::bench
