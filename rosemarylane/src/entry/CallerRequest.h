#ifndef ROSEMARYLANE_ENTRY_CALLER_REQUEST_H
#define ROSEMARYLANE_ENTRY_CALLER_REQUEST_H

#include "core/Digest.h"
#include "core/Ids.h"
#include "core/Result.h"
#include "entry/Problem.h"
#include "http/Message.h"

#include <cstdint>
#include <string>

namespace rosemarylane {

/// What an entry needs to know of a caller's request.
struct CallerRequest {
  core::EntryName Entry;
  /// The path that the target gets.
  std::string TargetPath;
  /// The caller wants the answer part by part.
  bool Stream = false;
  /// The method changes nothing, so the call may be repeated whatever the
  /// catalogue says.
  bool SafeMethod = false;
  std::string IdempotencyKey;
  /// The digest of the bearer token.
  core::Digest TokenDigest;
  /// The digest of method, path and body.
  core::Digest Digest;
  /// Hashes the start of the prompt, for cache affinity.
  std::uint64_t PrefixHash = 0;
};

/// Reads a request on `/v1/chat/completions`, `/v1/completions` or
/// `/v1/services/{entry}/{path}`.
core::Result<CallerRequest, Problem>
parseCallerRequest(const http::Request &Request);

/// @return the digest of the bearer token, or of nothing if there is none.
core::Digest bearerTokenDigest(const http::Request &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_CALLER_REQUEST_H
