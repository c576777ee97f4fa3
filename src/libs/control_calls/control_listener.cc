#include "control_calls/control_listener.h"

#include <utility>

#include "base/encoding.h"
#include "client_limits/listener_limits.h"
#include "net/error_answer.h"
#include "wire/header_names.h"

namespace chestnutport::control_calls {
namespace {

using base::ErrorKind;

bool IsSignedWith(const net::HttpHeaders& headers,
                  const std::string& body,
                  const std::string& key) {
  return !key.empty() && base::EqualInConstantTime(
                             net::FindHeader(headers, wire::kSignatureHeader),
                             base::KeyedDigest(key, body));
}

// Bytes of answers that wait to be written. Only nodes with the key get large
// ones, and many may ask for a configuration at once.
constexpr size_t kMaxAnswers = 64 * 1024 * 1024;

}  // namespace

ControlListener::ControlListener(net::EventLoop& loop, PeerKeys keys)
    : loop_(loop), keys_(std::move(keys)) {}

base::Result<bool> ControlListener::Listen(const base::SocketAddress& address) {
  auto limits = client_limits::ListenerLimits::Small();
  limits.answers = kMaxAnswers;
  auto opened = net::HttpServer::Open(
      loop_, address, limits,
      [this](const net::HttpRequest& request, net::Reply reply) {
        OnRequest(request, std::move(reply));
      });
  if (!opened)
    return opened.error();
  listener_ = std::move(opened).value();
  return true;
}

void ControlListener::Add(const std::string& method,
                          rpc::Dispatcher::Method handler) {
  dispatcher_.Add(method, std::move(handler));
}

void ControlListener::OnRequest(const net::HttpRequest& request,
                                net::Reply reply) {
  if (request.target != kControlPath) {
    reply.Send(net::MakeErrorAnswer(ErrorKind::kNotFound));
    return;
  }
  const std::string body = request.body.ToString();
  if (!IsSignedWith(request.headers, body, keys_.current) &&
      !IsSignedWith(request.headers, body, keys_.previous)) {
    reply.Send(net::MakeErrorAnswer(ErrorKind::kUnauthorized));
    return;
  }
  reply.Send({.headers = {{"Content-Type", "application/json"}},
              .body = dispatcher_.Handle(body)});
}

}  // namespace chestnutport::control_calls
