// Interface of the protocols between a gate and its server: how requests are
// prepared and how responses are interpreted.
#ifndef SERVER_SERVER_PROTOCOL_H_
#define SERVER_SERVER_PROTOCOL_H_

#include <concepts>
#include <functional>
#include <optional>
#include <string>

#include "base/time.h"
#include "net/http_message.h"
#include "server/announcement_requirements.h"
#include "wire/server_load.h"
#include "wire/server_notice.h"

namespace chestnutport::server {

// What a gate adds to a request that it forwards to its server.
struct ForwardingInfo {
  base::Duration remaining{};  // Time until the caller's deadline.
  std::string instance;        // Expected server incarnation.
};

enum class ServerVerdict {
  kAnswered,       // A response of the server, whatever its status.
  kShed,           // The server did not and will not run the request.
  kOtherInstance,  // Shed, because another instance was expected.
  kUnusable,       // Must not be forwarded; the request may have run.
};

template <typename Protocol>
concept ServerProtocol = requires(const Protocol& protocol,
                                  net::HttpRequest& request,
                                  const ForwardingInfo& info,
                                  const net::HttpAnswer& head) {
  // Removes headers meant for nodes only and adds those the server expects.
  { protocol.Prepare(request, info) } -> std::same_as<void>;
  // Classifies a response by its status and headers.
  { protocol.ClassifyResponse(head) } -> std::same_as<ServerVerdict>;
  // Returns the load that the response reports, if any.
  {
    protocol.Load(head.headers)
    } -> std::same_as<std::optional<wire::ServerLoad>>;
  // Returns the remaining cold time that the response reports, if any.
  {
    protocol.ColdFor(head.headers)
    } -> std::same_as<std::optional<base::Duration>>;
  // Returns what the response states about the server's rate limit, and whether
  // it is leaving.
  { protocol.Notice(head.headers) } -> std::same_as<wire::ServerNotice>;
  // Whether a cold server reports its remaining cold time in every health
  // response, so that its absence means that the server is warm.
  { protocol.ReportsColdState() } -> std::same_as<bool>;
  // Returns the instance that responded, or an empty string if the response
  // does not name it.
  { protocol.Instance(head.headers) } -> std::same_as<std::string>;
  // Name of a request header that servers echo in the response; empty if there
  // is none.
  { protocol.AnswerTag() } -> std::same_as<std::string>;
  // Returns what the announcements and deregistrations of servers contain.
  {
    protocol.RequiredInAnnouncements()
    } -> std::same_as<AnnouncementRequirements>;
};

// Type-erased ServerProtocol.
struct AnyServerProtocol {
  template <ServerProtocol Protocol>
  static AnyServerProtocol Of(const Protocol& protocol) {
    return {
        .prepare = [protocol](
                       auto& request,
                       const auto& info) { protocol.Prepare(request, info); },
        .classify_response =
            [protocol](const auto& head) {
              return protocol.ClassifyResponse(head);
            },
        .load =
            [protocol](const auto& headers) { return protocol.Load(headers); },
        .cold_for =
            [protocol](const auto& headers) {
              return protocol.ColdFor(headers);
            },
        .notice = [protocol](
                      const auto& headers) { return protocol.Notice(headers); },
        .instance =
            [protocol](const auto& headers) {
              return protocol.Instance(headers);
            },
        .answer_tag = protocol.AnswerTag(),
        .announcement_requirements = protocol.RequiredInAnnouncements(),
        .reports_cold_state = protocol.ReportsColdState()};
  }

  std::function<void(net::HttpRequest&, const ForwardingInfo&)> prepare;
  std::function<ServerVerdict(const net::HttpAnswer&)> classify_response;
  std::function<std::optional<wire::ServerLoad>(const net::HttpHeaders&)> load;
  std::function<std::optional<base::Duration>(const net::HttpHeaders&)>
      cold_for;
  std::function<wire::ServerNotice(const net::HttpHeaders&)> notice;
  std::function<std::string(const net::HttpHeaders&)> instance;
  std::string answer_tag;
  AnnouncementRequirements announcement_requirements;
  bool reports_cold_state = false;

  // Returns the remaining cold time according to a health response. Zero if the
  // protocol always reports the cold state and this response does not, nothing
  // if the response does not report it.
  std::optional<base::Duration> ColdForFromHealthCheck(
      const net::HttpHeaders& headers) const {
    const auto cold_duration = cold_for(headers);
    return cold_duration || !reports_cold_state ? cold_duration
                                                : base::Duration();
  }
};

}  // namespace chestnutport::server

#endif  // SERVER_SERVER_PROTOCOL_H_
