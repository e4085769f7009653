#include "StoreErrors.h"

namespace rosemarylane::store {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned FirstServerError = 500;
constexpr std::size_t MaxDetailBytes = 200;

StoreError::Kind unanswered(CallKind Kind) {
  return Kind == CallKind::Write ? StoreError::Kind::Unknown
                                 : StoreError::Kind::Unavailable;
}

} // namespace

StoreError toStoreError(CallKind Kind, const http::Error &Failure) {
  bool NeverSent = Failure.What == http::Error::Kind::NotSent ||
                   Failure.What == http::Error::Kind::Address;
  return {NeverSent ? StoreError::Kind::Unavailable : unanswered(Kind),
          Failure.Detail};
}

std::optional<StoreError> statusError(CallKind Kind,
                                      const http::Response &Answer) {
  unsigned Status = Answer.Head.Status;
  if (Status == StatusOk)
    return std::nullopt;
  std::string Detail = "status " + std::to_string(Status) + ": " +
                       Answer.Body.substr(0, MaxDetailBytes);
  if (Status == StatusTooManyRequests)
    return StoreError{StoreError::Kind::Unavailable, Detail};
  // A server's error may come after the write took effect.
  if (Status >= FirstServerError)
    return StoreError{unanswered(Kind), Detail};
  return StoreError{StoreError::Kind::Rejected, Detail};
}

StoreError malformedAnswer(CallKind Kind, std::string Detail) {
  return {unanswered(Kind), "malformed answer: " + std::move(Detail)};
}

} // namespace rosemarylane::store
