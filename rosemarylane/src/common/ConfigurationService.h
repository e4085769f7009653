#ifndef ROSEMARYLANE_COMMON_CONFIGURATION_SERVICE_H
#define ROSEMARYLANE_COMMON_CONFIGURATION_SERVICE_H

#include "common/ProcessContext.h"
#include "core/Catalogue.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane {

class MessageSender;

/// Holds the configuration in force at this process.
///
/// Every entry and agent has one. An entry that is selected as a reader gets
/// the configuration from the store, which is the platform's key-value service
/// (`ProcessContext::Store`); all other processes get it from peers. The
/// revision never decreases. Created, used and destroyed on the control thread,
/// except for `current`.
class ConfigurationService {
public:
  using ChangeHook =
      std::function<void(std::shared_ptr<const core::Configuration>)>;

  /// @param Send has to outlive the service.
  /// @param MayReadStore true in entries, one of which reads the store in each
  /// failure domain (`core::isConfigurationReader`); false in agents.
  static std::unique_ptr<ConfigurationService>
  create(ProcessContext &Context, const MessageSender &Send, bool MayReadStore);
  virtual ~ConfigurationService() = default;

  /// May be called from any thread.
  /// @return the configuration in force, never null; its revision is 0 until a
  /// configuration has been received.
  virtual std::shared_ptr<const core::Configuration> current() const = 0;

  /// Adds \p Hook, which is called after each change.
  virtual void onChange(ChangeHook Hook) = 0;

  /// Sets \p Hook, which is called when the store was read and is behind what
  /// is in force; see `core::isBehind`.
  virtual void onStoreBehind(std::function<void()> Hook) = 0;

  /// Sets the entries that determine whether this process reads the store.
  /// @param Entries live entries of this failure domain, this one included.
  virtual void setLiveEntries(std::vector<core::HostId> Entries) = 0;

  /// Exchanges configurations with peers. To be called for every message,
  /// whatever its body: the revision in its envelope shows which side is
  /// behind, and that side requests the newer configuration.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  /// Puts \p Newer in force unless its revision is not above the current one.
  /// For configurations that another component of this process has read or
  /// written, such as the administration API.
  virtual void
  applyIfNewer(std::shared_ptr<const core::Configuration> Newer) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_CONFIGURATION_SERVICE_H
