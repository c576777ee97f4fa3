// A body type for Boost.Beast's parsers, for the HTTP server and client.
#ifndef NET_PART_BODY_H_
#define NET_PART_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chestnutport::net {

// Holds the parts of a body that were parsed and not taken out yet. Unlike
// Beast's string_body, it allocates nothing for the length that the other end
// states, which may be any number.
struct PartBody {
  using value_type = std::string;

  // Has the form that Beast requires of a BodyReader.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>& /*head*/,
           value_type& body)
        : body_(body) {}

    void init(const boost::optional<uint64_t>& /*length*/,
              boost::system::error_code& error) {
      error = {};
    }

    template <typename Buffers>
    size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      const size_t before = body_.size();
      for (const auto buffer : boost::beast::buffers_range_ref(buffers))
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      return body_.size() - before;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace chestnutport::net

#endif  // NET_PART_BODY_H_
