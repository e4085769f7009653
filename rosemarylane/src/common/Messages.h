#ifndef ROSEMARYLANE_COMMON_MESSAGES_H
#define ROSEMARYLANE_COMMON_MESSAGES_H

#include "common/ConfigurationService.h"
#include "common/ProcessContext.h"
#include "wire/wire.pb.h"

namespace rosemarylane {

/// Sends messages of this process with its identity and the revision in force
/// filled in. From any thread.
class MessageSender {
public:
  MessageSender(ProcessContext &Context, wire::Role Role)
      : Context(Context), Role(Role) {}

  /// Set once the configuration service exists.
  void setConfiguration(const ConfigurationService *Service) {
    Configuration = Service;
  }

  /// Fills in the sender and the revision, and sends.
  /// @return false if the message was dropped at once.
  bool send(const wire::Peer &To, wire::Envelope Message) const;

private:
  ProcessContext &Context;
  wire::Role Role;
  const ConfigurationService *Configuration = nullptr;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_MESSAGES_H
