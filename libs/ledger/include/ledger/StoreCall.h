#ifndef ROSEMARYLANE_LEDGER_STORE_CALL_H
#define ROSEMARYLANE_LEDGER_STORE_CALL_H

#include <cstdint>
#include <string>

namespace rosemarylane::ledger {

/// The history of the store that an entry writes in; see `HistoryFence`.
struct HistoryState {
  /// 0 if the service does not tell its history; then there is no fence.
  std::uint64_t History = 0;
  /// The fence's value, on which swaps depend; empty without a fence.
  std::string Fence;
  /// Whether keys may be claimed and released.
  bool Settled = true;

  bool operator==(const HistoryState &) const = default;
};

/// A request to the platform's store that the ledger wants made.
struct StoreCall {
  enum class Kind { Read, CompareAndSwap, Erase };
  /// The operation to perform.
  Kind What = Kind::Read;
  /// The name of the segment to access; empty for the partition's value, or the
  /// fence of a `HistoryFence`.
  std::string Segment;
  /// Only for `CompareAndSwap`: the expected revision and the new value.
  std::int64_t Expected = 0;
  std::string Value;
  /// The history that the call belongs to; 0 if not known.
  std::uint64_t History = 0;
  /// Only for `CompareAndSwap`: the value that the fence must have; empty for
  /// none.
  std::string Fence;
};

/// The result of a `StoreCall`.
struct StoreReply {
  enum class Kind {
    /// The result of a read, or of a swap that found another revision: `Value`
    /// and `Revision` are those in the store.
    Found,
    /// The swap took effect under `Revision`.
    Swapped,
    /// The call did not take effect.
    Unavailable,
    /// The store's reply was lost: a swap may have taken effect.
    Lost,
    /// The segment's key no longer exists.
    Erased,
    /// The swap did not take effect: the fence has another value, or the store
    /// another history.
    OtherHistory,
  };
  /// The kind of result.
  Kind What = Kind::Unavailable;
  std::string Value;
  std::int64_t Revision = 0;
  /// The history that the call met; 0 if not known.
  std::uint64_t History = 0;
};

} // namespace rosemarylane::ledger

#endif // ROSEMARYLANE_LEDGER_STORE_CALL_H
