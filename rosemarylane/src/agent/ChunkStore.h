#ifndef ROSEMARYLANE_AGENT_CHUNK_STORE_H
#define ROSEMARYLANE_AGENT_CHUNK_STORE_H

#include "agent/EngineControl.h"
#include "core/Digest.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_set>

namespace rosemarylane {

/// The verified chunks and manifests in the engine's memory, with a small cache
/// of those that were used last.
///
/// On the control duty. \p Engine outlives the store.
class ChunkStore {
public:
  using Bytes = std::shared_ptr<const std::string>;
  using ReadHook = std::function<void(Bytes)>;
  using WriteHook =
      std::function<void(core::Result<EngineControl::Done, EngineError>)>;

  /// Bytes that the cache may take of this process's memory.
  static constexpr std::size_t CacheBytes = 32 << 20;

  explicit ChunkStore(EngineControl &Engine) : Engine(Engine) {}

  /// Lists the engine's chunks anew.
  /// @param OnDone told whether the engine answered.
  void refresh(std::function<void(bool)> OnDone);

  /// Nothing is known to be held until the next `refresh`.
  void clear();

  bool holds(const core::Digest &Id) const { return Held.contains(Id); }
  const std::unordered_set<core::Digest> &held() const { return Held; }

  /// Reads a chunk back; null if the engine no longer has it.
  void read(const core::Digest &Id, ReadHook OnDone);

  /// Stores \p Data, whose digest the caller has checked to be \p Id.
  void write(const core::Digest &Id, std::string Data, WriteHook OnDone);

  void remove(const core::Digest &Id);

private:
  struct Cached {
    core::Digest Id;
    Bytes Data;
  };

  void cache(const core::Digest &Id, Bytes Data);

  EngineControl &Engine;
  std::unordered_set<core::Digest> Held;
  /// The one used last comes first.
  std::list<Cached> Recent;
  std::size_t RecentBytes = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_CHUNK_STORE_H
