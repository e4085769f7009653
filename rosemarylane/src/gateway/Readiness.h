#ifndef ROSEMARYLANE_GATEWAY_READINESS_H
#define ROSEMARYLANE_GATEWAY_READINESS_H

#include "gateway/GatewayContext.h"

namespace rosemarylane {

/// Decides whether a gateway says that it is ready, so that callers are sent
/// elsewhere before their requests are refused or go wrong.
///
/// Created by the process once the store is followed, for its lifetime; used
/// only on the thread of the event loop.
class Readiness {
public:
  explicit Readiness(const GatewayContext &Context) : Context(Context) {}

  bool ready() const { return obstacle() == Obstacle::None; }

  /// Logs what has changed since the last call.
  void logChange();

private:
  enum class Obstacle {
    None,
    Draining,
    NoConfiguration,
    /// The proof that the copy of the operators' section is current is so old
    /// that requests with a key will be refused.
    OldConfiguration,
    /// The store answers, but the registry has not been read to its end for so
    /// long that this gateway may send to targets that leave.
    UnreadRegistry,
  };

  Obstacle obstacle() const;
  bool isConfigurationOld() const;
  bool isRegistryUnread() const;
  static const char *nameOf(Obstacle What);

  const GatewayContext &Context;
  Obstacle Logged = Obstacle::NoConfiguration;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_READINESS_H
