#include "traffic/answer_relay.h"

#include <cstdint>
#include <optional>
#include <utility>

#include "base/text.h"
#include "net/error_answer.h"

namespace chestnutport::traffic {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

std::optional<uint64_t> LengthOf(const net::HttpAnswer& head) {
  uint64_t length = 0;
  if (base::ParseNumber(net::FindHeader(head.headers, "Content-Length"),
                        &length)) {
    return length;
  }
  return std::nullopt;
}

base::ErrorKind ErrorOf(http_client::TransferEnd end) {
  return end == http_client::TransferEnd::kTimedOut
             ? base::ErrorKind::kDeadlinePassed
             : base::ErrorKind::kConnectionLost;
}

}  // namespace

bool ShouldRelay(std::string_view method, const net::HttpAnswer& head) {
  if (method == "HEAD" || head.status == kNoContent ||
      head.status == kNotModified) {
    return false;
  }
  const auto length = LengthOf(head);
  return !length || *length > kMaxCollectedBytes;
}

AnswerRelay::AnswerRelay(http_client::HttpClient& client,
                         http_client::HttpClient::TransferId transfer,
                         net::HttpAnswer head,
                         net::Reply reply,
                         std::function<void()> on_gone)
    : reply_(std::move(reply)) {
  const auto length = LengthOf(head);
  reply_.OnDrained([&client, transfer] { client.Continue(transfer); });
  reply_.OnGone([&client, transfer, on_gone = std::move(on_gone)] {
    // A transfer that may go on must not wait for a receiver that is gone.
    client.Continue(transfer);
    on_gone();
  });
  reply_.Start(head.status, std::move(head.headers), length);
}

bool AnswerRelay::Write(std::string_view part) {
  if (reply_.buffered() > 0 && reply_.buffered() >= reply_.BufferSize())
    return false;
  reply_.Write(part);
  return true;
}

void AnswerRelay::End(http_client::TransferEnd end) {
  if (end == http_client::TransferEnd::kComplete)
    reply_.Finish();
  else if (reply_.IsHeadTaken())
    reply_.Abort();
  else
    reply_.Send(net::MakeErrorAnswer(ErrorOf(end)));
}

}  // namespace chestnutport::traffic
