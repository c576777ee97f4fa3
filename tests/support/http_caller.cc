#include "support/http_caller.h"

#include <utility>

#include "net/event_loop.h"

namespace chestnutport::test {

http_client::TransferResult SendAndWait(const base::SocketAddress& to,
                                        net::HttpRequest request,
                                        std::chrono::seconds limit) {
  net::EventLoop loop;
  http_client::HttpClient client(loop, http_client::HttpClientOptions{});
  http_client::TransferResult result;
  client.Send(to, std::move(request), limit,
              [&](http_client::TransferResult answer) {
                result = std::move(answer);
                loop.Stop();
              });
  loop.Run();
  return result;
}

}  // namespace chestnutport::test
