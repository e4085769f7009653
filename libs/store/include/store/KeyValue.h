#ifndef ROSEMARYLANE_STORE_KEY_VALUE_H
#define ROSEMARYLANE_STORE_KEY_VALUE_H

#include "core/Result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane::store {

/// Why a call on the platform's service failed.
struct StoreError {
  enum class Kind {
    /// The call did not take effect.
    Unavailable,
    /// The answer was lost: a write may have taken effect.
    Unknown,
    /// The service refused the call.
    Rejected,
    /// The call did not take effect, as its condition belongs to another
    /// history of the service: the value has to be read again.
    OtherHistory,
  };
  Kind What;
  std::string Detail;
};

/// A revision, and the history of the service that gave it.
///
/// A service that is restored from a copy begins another history: revisions go
/// back and are given out again for other values. Revisions of two histories
/// must not be compared.
struct StorePosition {
  std::int64_t Revision = 0;
  /// The service's cluster id, which changes when it is restored; 0 if the
  /// service does not tell.
  std::uint64_t History = 0;

  bool operator==(const StorePosition &) const = default;
};

/// A value with the revision of its last change; revision 0 means that the key
/// does not exist.
struct StoredValue {
  std::string Value;
  std::int64_t Revision = 0;
  /// The history that the value was read in; see `StorePosition`.
  std::uint64_t History = 0;

  StorePosition position() const { return {Revision, History}; }
};

/// What a compare-and-swap depends on.
struct SwapCondition {
  /// The key's revision; revision 0: the key does not exist.
  StorePosition Expected;
  /// Another key that has to hold `GuardValue`; empty for none.
  std::string GuardKey;
  std::string GuardValue;
};

/// What a compare-and-swap found.
struct SwapOutcome {
  bool Swapped = false;
  /// False if it was not swapped because the guard has another value.
  bool GuardHeld = true;
  /// The value after the call: the new one if swapped, else the one that stood
  /// in the way.
  StoredValue Current;
};

/// The platform's small key-value service, with compare-and-swap and watches.
///
/// Every call ends with its hook called once on the implementation's duty,
/// within the call's deadline. From any thread.
class KeyValue {
public:
  template <typename T>
  using Hook = std::function<void(core::Result<T, StoreError>)>;

  /// Dropping it ends the watch.
  class Watch {
  public:
    virtual ~Watch() = default;
  };

  virtual ~KeyValue() = default;

  virtual void read(const std::string &Key, Hook<StoredValue> OnDone) = 0;

  /// Writes \p Value if \p Condition holds. Refused with `OtherHistory` if the
  /// latest answer of the service was of another history.
  ///
  /// An answer shows the history that the call met: if it is another one, the
  /// expected revision may have been there by chance.
  virtual void compareAndSwap(const std::string &Key, SwapCondition Condition,
                              std::string Value, Hook<SwapOutcome> OnDone) = 0;

  /// Removes \p Key, whatever its value. Told whether it existed.
  virtual void erase(const std::string &Key, Hook<bool> OnDone) = 0;

  /// Calls \p OnChange with each later value of \p Key from \p From on. The
  /// watch ends when it meets another history than that of \p From.
  /// @param OnLost called once when the watch has ended for any reason; the
  /// caller reads and starts another.
  virtual std::unique_ptr<Watch>
  watch(const std::string &Key, StorePosition From,
        std::function<void(StoredValue)> OnChange,
        std::function<void(StoreError)> OnLost) = 0;
};

} // namespace rosemarylane::store

#endif // ROSEMARYLANE_STORE_KEY_VALUE_H
