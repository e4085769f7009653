#ifndef ROSEMARYLANE_ENTRY_CONFIGURATION_WRITER_H
#define ROSEMARYLANE_ENTRY_CONFIGURATION_WRITER_H

#include "core/Result.h"
#include "core/StoredConfiguration.h"
#include "store/KeyValue.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane {

/// Why an operator's change was not made.
struct ChangeRefusal {
  enum class Kind {
    /// The workspace may not make it.
    Forbidden,
    /// The configuration is no longer at the revision that the change builds
    /// on.
    Conflict,
    /// The document is wrong; see `Errors`.
    Invalid,
    /// The store could not be reached: nothing was changed.
    Unavailable,
    /// The store took the change but its answer was lost, and could not be
    /// asked again: look for the change's id in the history.
    Unknown,
  };
  Kind What = Kind::Unavailable;
  std::string Detail;
  core::DocumentErrors Errors;
  /// The revision found in the store; 0 if it is not known.
  std::uint64_t CurrentRevision = 0;
};

/// Changes the stored configuration by compare-and-swap.
///
/// A lost race is decided by running the change again on what was found. A lost
/// answer is decided by the same compare-and-swap again: since every change
/// carries its id and the history keeps the ids, a change is made once however
/// often it is tried. On the duty that the store delivers to.
class ConfigurationWriter {
public:
  /// Makes the next configuration from the stored one, or refuses.
  using Edit = std::function<core::Result<core::Configuration, ChangeRefusal>(
      const core::StoredConfiguration &)>;
  /// Told the stored configuration, which has the change; its id is in the
  /// history.
  using Done = std::function<void(
      core::Result<core::StoredConfiguration, ChangeRefusal>)>;
  using Delay =
      std::function<void(std::chrono::milliseconds, std::function<void()>)>;

  /// How often and for how long a change is tried.
  struct Retry {
    std::chrono::milliseconds Interval{100};
    unsigned MaxFailures = 8;
  };

  /// @param Later runs work after a delay, on the same duty.
  ConfigurationWriter(store::KeyValue &Store, Delay Later, Retry Limits);
  ConfigurationWriter(store::KeyValue &Store, Delay Later);

  void change(core::ConfigurationChange Change, Edit MakeNext, Done OnDone);

private:
  store::KeyValue &Store;
  Delay Later;
  Retry Limits;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_CONFIGURATION_WRITER_H
