#ifndef ROSEMARYLANE_COMMON_MESSAGES_H
#define ROSEMARYLANE_COMMON_MESSAGES_H

#include "common/ConfigurationService.h"
#include "common/ProcessContext.h"
#include "wire/wire.pb.h"

namespace rosemarylane {

/// Sends messages to peers with this process's identity and configuration
/// revision filled in.
///
/// \p Context has to outlive the sender. Thread-safe once the process has
/// started.
class MessageSender {
public:
  MessageSender(ProcessContext &Context, wire::Role Role)
      : Context(Context), Role(Role) {}

  /// Sets the service whose revision is sent; to be called as soon as it
  /// exists. It has to outlive the sender. Messages have no revision until
  /// then.
  void setConfiguration(const ConfigurationService *Service) {
    Configuration = Service;
  }

  /// Fills in the sender and the revision, and sends the message.
  /// @return false if the message was dropped at once.
  bool send(const wire::Peer &To, wire::Envelope Message) const;

private:
  ProcessContext &Context;
  wire::Role Role;
  const ConfigurationService *Configuration = nullptr;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_MESSAGES_H
