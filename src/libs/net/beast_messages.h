// Between Boost.Beast's messages and the project's own, for the
// HTTP server and client: only the parsers and serializers of Beast are used,
// not its transport.
#ifndef NET_BEAST_MESSAGES_H_
#define NET_BEAST_MESSAGES_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <iterator>
#include <string>
#include <string_view>

#include "net/http_message.h"

namespace chestnutport::net {

namespace http = boost::beast::http;

// The form in which Beast's head of a message is written.
inline constexpr unsigned kHttp11 = 11;
inline constexpr unsigned kHttp10 = 10;

// Beast takes Boost's own string views.
inline boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

inline HttpHeaders ToHeaders(const http::fields& fields) {
  HttpHeaders headers;
  headers.reserve(std::distance(fields.begin(), fields.end()));
  for (const auto& field : fields) {
    headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return headers;
}

// Gives `parser` what was read, and takes out of `in` what it took. Returns
// whether it may go on at once; `error` is set if the message is malformed.
template <typename Parser>
bool FeedParser(Parser& parser,
                std::string& in,
                boost::system::error_code& error) {
  const size_t used =
      parser.put(boost::asio::const_buffer(in.data(), in.size()), error);
  in.erase(0, used);
  if (error == http::error::need_more) {
    error = {};
    return false;
  }
  return !error && (used > 0 || parser.is_done());
}

// Headers that say how long the body is: the library writes them itself.
bool IsFraming(std::string_view name);

// Writes the start line and the headers of `message` behind `out`.
template <bool kIsRequest>
void AppendHead(http::message<kIsRequest, http::empty_body>& message,
                std::string& out) {
  http::serializer<kIsRequest, http::empty_body> serializer(message);
  serializer.split(true);
  boost::system::error_code error;
  while (!error && !serializer.is_header_done()) {
    serializer.next(error, [&](auto& next_error, const auto& buffers) {
      next_error = {};
      size_t size = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        out.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      serializer.consume(size);
    });
  }
}

}  // namespace chestnutport::net

#endif  // NET_BEAST_MESSAGES_H_
