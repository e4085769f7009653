#ifndef ROSEMARYLANE_HTTP_SHARED_BODY_H
#define ROSEMARYLANE_HTTP_SHARED_BODY_H

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace rosemarylane::http {

/// A Beast body that messages share, so that each request is in memory once,
/// however often it is sent. Null is an empty body.
struct SharedBody {
  using value_type = std::shared_ptr<const std::string>;

  static std::uint64_t size(const value_type &Body) {
    return Body ? Body->size() : 0;
  }

  class Writer {
  public:
    using const_buffers_type = boost::asio::const_buffer;

    template <bool IsRequest, class Fields>
    Writer(const boost::beast::http::header<IsRequest, Fields> &,
           const value_type &Body)
        : Body(Body) {}

    void init(boost::beast::error_code &Error) { Error = {}; }

    boost::optional<std::pair<const_buffers_type, bool>>
    get(boost::beast::error_code &Error) {
      constexpr bool HasMore = false;
      Error = {};
      if (!Body)
        return boost::none;
      return {{boost::asio::buffer(*Body), HasMore}};
    }

  private:
    const value_type &Body;
  };
  /// As Beast calls it.
  using writer = Writer;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_SHARED_BODY_H
