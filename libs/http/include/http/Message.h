#ifndef ROSEMARYLANE_HTTP_MESSAGE_H
#define ROSEMARYLANE_HTTP_MESSAGE_H

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rosemarylane::http {

/// Header fields in order; names compare without regard to case.
class Headers {
public:
  Headers() = default;
  Headers(std::initializer_list<std::pair<std::string, std::string>> Fields)
      : Fields(Fields) {}

  void set(std::string Name, std::string Value);
  void add(std::string Name, std::string Value);
  std::optional<std::string_view> find(std::string_view Name) const;

  auto begin() const { return Fields.begin(); }
  auto end() const { return Fields.end(); }

private:
  std::vector<std::pair<std::string, std::string>> Fields;
};

/// A whole request.
struct Request {
  std::string Method;
  /// The path with its query, as sent.
  std::string Target;
  Headers Fields;
  std::string Body;
};

/// The status line and header fields of an answer.
struct ResponseHead {
  unsigned Status = 200;
  Headers Fields;
};

/// A whole answer.
struct Response {
  ResponseHead Head;
  std::string Body;
};

/// An answer with a JSON body.
Response jsonResponse(unsigned Status, std::string Json);

/// A refusal as `application/problem+json` (RFC 9457).
/// @param Ran says whether the request ran: "no", "unknown" or "yes".
Response problemResponse(unsigned Status, std::string_view Title,
                         std::string_view Detail, std::string_view Ran);

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_MESSAGE_H
