// How a gate and its server speak: what a request to a server is given, and
// what an answer of its says.
#ifndef SERVER_SERVER_PROTOCOL_H_
#define SERVER_SERVER_PROTOCOL_H_

#include <concepts>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "net/http_message.h"
#include "wire/server_load.h"

namespace chestnutport::server {

// What a gate adds to a request that it hands to its server.
struct ServerSend {
  base::Duration remaining{};  // Until the caller's deadline.
  std::string instance;        // The start of the server that is meant.
};

enum class ServerVerdict {
  kAnswered,       // The server's own answer, whatever its status.
  kShed,           // The server did not run the request and will not.
  kOtherInstance,  // The same, as it is not the server that is meant.
  kUnusable,       // No answer that may be handed on; it may have run.
};

template <typename Protocol>
concept ServerProtocol = requires(const Protocol& protocol,
                                  net::HttpRequest& request,
                                  const ServerSend& send,
                                  const net::HttpAnswer& head) {
  // Takes out what only nodes may see, and adds what the server expects.
  { protocol.Prepare(request, send) } -> std::same_as<void>;
  // By the head of an answer.
  { protocol.Judge(head) } -> std::same_as<ServerVerdict>;
  // If the answer carries one.
  {
    protocol.Load(head.headers)
    } -> std::same_as<std::optional<wire::ServerLoad>>;
  // How much longer the server stays cold, if the answer says so.
  {
    protocol.ColdFor(head.headers)
    } -> std::same_as<std::optional<base::Duration>>;
  // Whether each health answer of a cold server says so.
  { protocol.TellsWhenCold() } -> std::same_as<bool>;
  // The start of the server that answered; empty: it does not say.
  { protocol.Instance(head.headers) } -> std::same_as<std::string>;
  // A header that servers echo from the request; empty: there is none.
  { protocol.AnswerTag() } -> std::same_as<std::string>;
};

// Any ServerProtocol, by value.
struct AnyServerProtocol {
  template <ServerProtocol Protocol>
  static AnyServerProtocol Of(const Protocol& protocol) {
    return {
        .prepare = [protocol](
                       auto& request,
                       const auto& send) { protocol.Prepare(request, send); },
        .judge = [protocol](const auto& head) { return protocol.Judge(head); },
        .load =
            [protocol](const auto& headers) { return protocol.Load(headers); },
        .cold_for =
            [protocol](const auto& headers) {
              return protocol.ColdFor(headers);
            },
        .instance =
            [protocol](const auto& headers) {
              return protocol.Instance(headers);
            },
        .answer_tag = protocol.AnswerTag(),
        .tells_when_cold = protocol.TellsWhenCold()};
  }

  std::function<void(net::HttpRequest&, const ServerSend&)> prepare;
  std::function<ServerVerdict(const net::HttpAnswer&)> judge;
  std::function<std::optional<wire::ServerLoad>(const net::HttpHeaders&)> load;
  std::function<std::optional<base::Duration>(const net::HttpHeaders&)>
      cold_for;
  std::function<std::string(const net::HttpHeaders&)> instance;
  std::string answer_tag;
  bool tells_when_cold = false;

  // What a health answer says of how long the server stays cold; nothing: it
  // says nothing.
  std::optional<base::Duration> ColdByHealth(
      const net::HttpHeaders& headers) const {
    const auto told = cold_for(headers);
    return told || !tells_when_cold ? told : base::Duration();
  }
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_PROTOCOL_H_
