#ifndef ROSEMARYLANE_HTTP_LIMITED_PARSER_H
#define ROSEMARYLANE_HTTP_LIMITED_PARSER_H

#include "http/RequestHead.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

namespace rosemarylane::http {

/// Limit of what stands between the parts of a body: the size and extension of
/// one chunk, or those of the last chunk together with the trailer. The parser
/// keeps none of it before it has come whole, and counts it nowhere.
inline constexpr std::size_t MaxChunkFramingBytes = 16 << 10;

/// @return whether an answer may have this status. A switch of protocols is
/// never asked for.
inline bool isAnswerStatus(unsigned Status) {
  constexpr unsigned SwitchingProtocols = 101;
  return Status >= 100 && Status < 600 && Status != SwitchingProtocols;
}

/// A parser that counts all fields of a message, those of the trailer included,
/// against the limit of the head. It takes no head for an answer whose status
/// is none (`boost::beast::http::error::bad_status`), and none for a request
/// that can be read in two ways (`boost::beast::http::error::bad_value`).
///
/// The parser it is made from compares only what it is given at once with that
/// limit, so that a head whose lines come one after the other never ends.
template <bool IsRequest, class Body>
class LimitedParser : public boost::beast::http::parser<IsRequest, Body> {
public:
  explicit LimitedParser(std::size_t MaxHeadBytes)
      : MaxHeadBytes(MaxHeadBytes) {
    this->header_limit(static_cast<std::uint32_t>(MaxHeadBytes));
  }

  /// @return about what the fields take in memory.
  std::size_t fieldMemory() const { return FieldBytes + Fields * FieldMemory; }

private:
  /// What a line has beside the name and the value: a colon and its end.
  static constexpr std::size_t LineBytes = 3;
  /// What a field takes in memory beside its name and value.
  static constexpr std::size_t FieldMemory = 64;

  void on_field_impl(boost::beast::http::field Name,
                     boost::beast::string_view NameText,
                     boost::beast::string_view Value,
                     boost::beast::error_code &Error) override {
    ++Fields;
    FieldBytes += NameText.size() + Value.size() + LineBytes;
    if (FieldBytes > MaxHeadBytes) {
      Error = boost::beast::http::error::header_limit;
      return;
    }
    // The message has been taken for what its head says: a trailer adds
    // nothing.
    if (!this->is_header_done())
      this->get().insert(Name, NameText, Value);
  }

  void on_header_impl(boost::beast::error_code &Error) override {
    Error = {};
    if constexpr (IsRequest) {
      if (!hasClearHead(this->get(), this->get().version()))
        Error = boost::beast::http::error::bad_value;
    } else if (!isAnswerStatus(this->get().result_int())) {
      Error = boost::beast::http::error::bad_status;
    }
  }

  std::size_t MaxHeadBytes;
  std::size_t FieldBytes = 0;
  std::size_t Fields = 0;
};

/// Frees what \p Buffer holds; `clear` keeps the memory.
inline void freeBuffer(boost::beast::flat_buffer &Buffer) {
  Buffer.clear();
  Buffer.shrink_to_fit();
}

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_LIMITED_PARSER_H
