#ifndef ROSEMARYLANE_ENTRY_CONFIGURATION_WRITER_H
#define ROSEMARYLANE_ENTRY_CONFIGURATION_WRITER_H

#include "core/Result.h"
#include "core/StoredConfiguration.h"
#include "store/KeyValue.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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

/// The fence that keeps writes of two histories of the store apart; see
/// `ledger::HistoryFence`.
struct WriteFence {
  /// 0 if the service does not tell its history; then there is no fence.
  std::uint64_t History = 0;
  std::string Key;
  std::string Value;
};

/// Changes the stored configuration by compare-and-swap.
///
/// If another change is written first, the edit is applied again to the new
/// configuration. If the reply to a write is lost, the same compare-and-swap is
/// repeated. Each change has an id that is kept in the history, so it is made
/// only once, however often it is retried.
///
/// After a restore the store may be older than the configuration in force: an
/// edit is then applied to the one in force. A change in progress does not
/// refer to the writer, but the store must outlive it. Use it on the duty on
/// which the store delivers its replies.
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

  /// What the writer needs to know of its process; may be called at any time
  /// until the change has ended.
  struct Sources {
    /// The configuration in force, never null.
    std::function<std::shared_ptr<const core::Configuration>()> InForce;
    /// Given the history that the writer has met. Nothing while the history of
    /// the store is in doubt.
    std::function<std::optional<WriteFence>(std::uint64_t Met)> Fence;
  };

  /// Limits of the retries after a failed store call.
  struct Retry {
    std::chrono::milliseconds Interval{100};
    /// Number of failed store calls after which the change is refused.
    unsigned MaxFailures = 8;
  };

  /// @param RunLater runs a function after a delay, on the same duty.
  ConfigurationWriter(store::KeyValue &Store, Delay RunLater, Sources Known,
                      Retry Limits);
  ConfigurationWriter(store::KeyValue &Store, Delay RunLater, Sources Known);

  /// Makes a change.
  /// @param MakeNext may be called more than once.
  /// @param OnDone called exactly once.
  void change(core::ConfigurationChange Change, Edit MakeNext, Done OnDone);

  /// Writes the configuration in force again, under a new revision, if the
  /// store is behind it; see `core::isBehind`.
  /// @param OnDone called exactly once; with `Conflict` if it is not behind.
  void writeAgain(core::ConfigurationChange Change, Done OnDone);

private:
  store::KeyValue &Store;
  Delay RunLater;
  Sources Known;
  Retry Limits;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_CONFIGURATION_WRITER_H
