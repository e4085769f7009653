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

/// A caller's request, parsed.
struct CallerRequest {
  core::EntryName Entry;
  /// Path and query that are sent to the target.
  std::string TargetPath;
  /// Whether the caller asked for a streamed answer.
  bool Stream = false;
  /// Whether the HTTP method is safe, so that the call may be repeated whatever
  /// the catalogue says.
  bool SafeMethod = false;
  std::string IdempotencyKey;
  /// Digest of the bearer token; empty if there is none.
  core::Digest TokenDigest;
  /// Digest of method, path and body.
  core::Digest Digest;
  /// Hash of the start of the prompt, for cache affinity; 0 if there is none.
  std::uint64_t PrefixHash = 0;
};

/// Parses a request for `/v1/chat/completions`, `/v1/completions` or
/// `/v1/services/{entry}/{path}`.
/// @return the parsed request, or the problem to answer with.
core::Result<CallerRequest, Problem>
parseCallerRequest(const http::Request &Request);

/// @return the digest of the bearer token, or an empty digest if there is none.
core::Digest bearerTokenDigest(const http::Request &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_CALLER_REQUEST_H
