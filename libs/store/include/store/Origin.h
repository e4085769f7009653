#ifndef ROSEMARYLANE_STORE_ORIGIN_H
#define ROSEMARYLANE_STORE_ORIGIN_H

#include "core/Digest.h"
#include "core/Result.h"
#include "runtime/Duty.h"
#include "store/KeyValue.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane::store {

/// The origin of weights: `GET /v1/manifests/{digest}` and `GET
/// /v1/chunks/{digest}`, bodies as bytes.
///
/// What comes back is not to be trusted before its digest is checked.
class Origin {
public:
  using Hook = std::function<void(core::Result<std::string, StoreError>)>;

  /// Longest time of one call with all of its answer.
  static constexpr std::chrono::minutes DefaultDeadline{2};

  /// @param Io owns the sockets.
  /// @param Deliver runs the hooks. Both outlive the client.
  static std::unique_ptr<Origin>
  create(runtime::Duty &Io, runtime::Duty &Deliver, std::string Address,
         std::chrono::milliseconds Deadline = DefaultDeadline);
  virtual ~Origin() = default;

  virtual void fetchManifest(const core::Digest &Version, Hook OnDone) = 0;
  virtual void fetchChunk(const core::Digest &Chunk, Hook OnDone) = 0;
};

} // namespace rosemarylane::store

#endif // ROSEMARYLANE_STORE_ORIGIN_H
