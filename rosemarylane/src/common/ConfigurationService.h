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

/// Keeps the configuration in force at this process: from the platform's
/// service if this process is one of its readers, else from peers. The revision
/// only rises.
///
/// In every entry and agent. Lives on the control duty.
class ConfigurationService {
public:
  using ChangeHook =
      std::function<void(std::shared_ptr<const core::Configuration>)>;

  /// @param MayReadStore true in entries: their rank decides who reads.
  /// @param Send outlives the service.
  static std::unique_ptr<ConfigurationService>
  create(ProcessContext &Context, const MessageSender &Send, bool MayReadStore);
  virtual ~ConfigurationService() = default;

  /// @return the configuration in force, never null; revision 0 before the
  /// first is known. From any thread.
  virtual std::shared_ptr<const core::Configuration> current() const = 0;

  /// Calls \p Hook after each change.
  virtual void onChange(ChangeHook Hook) = 0;

  /// Tells which entries of this failure domain are alive, this one included;
  /// decides who reads the store.
  virtual void setLiveEntries(std::vector<core::HostId> Entries) = 0;

  /// Takes part in the exchange with peers. Called for every message, whatever
  /// its body: the revision in its envelope shows which side is behind, and the
  /// one behind asks.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  /// Takes a configuration read or written by another part of this process,
  /// such as the administration API.
  virtual void offer(std::shared_ptr<const core::Configuration> Newer) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_CONFIGURATION_SERVICE_H
