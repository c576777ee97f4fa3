#include "support/http_caller.h"

#include <utility>

#include "net/event_loop.h"

namespace chestnutport::test {

net::TransferResult SendAndWait(const base::SocketAddress& to,
                                net::HttpRequest request,
                                std::chrono::seconds limit) {
  net::EventLoop loop;
  net::HttpClient client(loop, net::HttpClientOptions{});
  net::TransferResult result;
  client.Send(to, std::move(request), limit, [&](net::TransferResult answer) {
    result = std::move(answer);
    loop.Stop();
  });
  loop.Run();
  return result;
}

}  // namespace chestnutport::test
