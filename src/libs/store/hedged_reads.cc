#include "store/hedged_reads.h"

#include <utility>

namespace chestnutport::store {
namespace {

constexpr size_t kFirstCopy = 0;
constexpr size_t kSecondCopy = 1;

}  // namespace

HedgedReads::~HedgedReads() {
  for (const auto& [id, read] : reads_) {
    http_.loop().Cancel(read.timer);
    for (const TransferId transfer : read.transfers)
      http_.Cancel(transfer);
  }
}

void HedgedReads::Send(const base::SocketAddress& to,
                       const base::SocketAddress& second,
                       net::HttpRequest request,
                       base::Duration timeout,
                       Handler handler) {
  const uint64_t id = ++last_id_;
  reads_[id] = {.addresses = {to, second},
                .request = std::move(request),
                .deadline = base::Clock::now() + timeout,
                .handler = std::move(handler)};
  reads_[id].timer = http_.loop().CallAfter(kReadHedgeDelay, [this, id] {
    reads_[id].timer = 0;
    http_.CloseIdle(reads_[id].addresses[kSecondCopy]);
    SendCopy(id, kSecondCopy);
  });
  SendCopy(id, kFirstCopy);
}

void HedgedReads::SendCopy(uint64_t id, size_t copy) {
  Read& read = reads_[id];
  read.transfers[copy] = http_.Send(
      read.addresses[copy], read.request, read.deadline - base::Clock::now(),
      [this, id, copy](http_client::TransferResult result) {
        OnResult(id, copy, std::move(result));
      });
}

void HedgedReads::OnResult(uint64_t id,
                           size_t copy,
                           http_client::TransferResult result) {
  Read& read = reads_[id];
  read.transfers[copy] = kNone;
  const TransferId other = read.transfers[1 - copy];
  if (result.end != http_client::TransferEnd::kComplete) {
    ++read.unanswered;
    if (other != kNone)
      return;
  }
  if (other != kNone) {
    ++read.unanswered;
    http_.Cancel(other);
  }
  http_.loop().Cancel(read.timer);
  const auto ended = reads_.extract(id);
  ended.mapped().handler(std::move(result), ended.mapped().unanswered);
}

}  // namespace chestnutport::store
