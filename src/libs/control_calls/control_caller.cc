#include "control_calls/control_caller.h"

#include <utility>

#include "base/encoding.h"
#include "control_calls/control_listener.h"
#include "rpc/call_codec.h"
#include "wire/header_names.h"

namespace chestnutport::control_calls {

ControlCaller::ControlCaller(net::EventLoop& loop, PeerKeys keys)
    : http_(loop, http_client::HttpClientOptions::Fresh()),
      keys_(std::move(keys)) {}

void ControlCaller::Call(const base::SocketAddress& node,
                         const std::string& method,
                         const std::string& params,
                         base::Duration timeout,
                         Handler handler,
                         AnsweringHandler answering) {
  net::HttpRequest request{.method = "POST", .target = kControlPath};
  std::string call = rpc::EncodeCall(method, params);
  request.headers = {
      {wire::kSignatureHeader, base::KeyedDigest(keys_.current, call)}};
  request.body = std::move(call);
  const auto on_head = [answering = std::move(answering)](const auto&) {
    if (answering)
      answering();
    return false;
  };
  http_.Stream(
      node, std::move(request), timeout, on_head, nullptr,
      [method, handler = std::move(handler)](
          const http_client::TransferResult& result) {
        std::string text;
        std::string error;
        const bool answered =
            result.end == http_client::TransferEnd::kComplete &&
            rpc::DecodeAnswer(method, result.answer.body, &text, &error);
        if (answered)
          handler(std::move(text));
        else
          handler(base::make_error_code(base::ErrorKind::kConnectionLost));
      });
}

}  // namespace chestnutport::control_calls
