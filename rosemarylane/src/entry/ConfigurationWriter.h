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

/// Reason why a configuration change was not made.
struct ChangeRefusal {
  enum class Kind {
    /// The caller's workspace is not allowed to make the change.
    Forbidden,
    /// The stored revision is not the one that the change is based on.
    Conflict,
    /// The document is invalid; see `Errors`.
    Invalid,
    /// The store could not be reached; nothing was changed.
    Unavailable,
    /// The store's reply to the write was lost, and later calls failed too.
    /// Whether the change was made can be seen from its id in the history.
    Unknown,
  };
  Kind Type = Kind::Unavailable;
  std::string Detail;
  core::DocumentErrors Errors;
  /// Revision found in the store; 0 if unknown.
  std::uint64_t CurrentRevision = 0;
};

/// Changes the stored configuration by compare-and-swap.
///
/// If another change is written first, the edit is applied again to the new
/// configuration. If the reply to a write is lost, the same compare-and-swap is
/// repeated. Each change has an id that is kept in the history, so it is made
/// only once, however often it is retried. A change in progress does not refer
/// to the writer, but the store must outlive it. Use it on the duty on which
/// the store delivers its replies.
class ConfigurationWriter {
public:
  /// Derives the next configuration from the stored one, or refuses the change.
  using Edit = std::function<core::Result<core::Configuration, ChangeRefusal>(
      const core::StoredConfiguration &)>;
  /// Receives the stored configuration whose history contains the change, or
  /// the reason of a refusal.
  using Done = std::function<void(
      core::Result<core::StoredConfiguration, ChangeRefusal>)>;
  using Delay =
      std::function<void(std::chrono::milliseconds, std::function<void()>)>;

  /// Limits of the retries after a failed store call.
  struct Retry {
    std::chrono::milliseconds Interval{100};
    /// Number of failed store calls after which the change is refused.
    unsigned MaxFailures = 8;
  };

  /// @param RunLater runs a function after a delay, on the same duty.
  ConfigurationWriter(store::KeyValue &Store, Delay RunLater, Retry Limits);
  ConfigurationWriter(store::KeyValue &Store, Delay RunLater);

  /// Makes a change.
  /// @param MakeNext may be called more than once.
  /// @param OnDone called exactly once.
  void change(core::ConfigurationChange Change, Edit MakeNext, Done OnDone);

private:
  store::KeyValue &Store;
  Delay RunLater;
  Retry Limits;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_CONFIGURATION_WRITER_H
