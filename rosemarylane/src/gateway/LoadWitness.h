#ifndef ROSEMARYLANE_GATEWAY_LOAD_WITNESS_H
#define ROSEMARYLANE_GATEWAY_LOAD_WITNESS_H

#include "node/PeerSocket.h"
#include "serving/LoadVerdicts.h"
#include "wire/node.pb.h"

#include <string>

namespace rosemarylane {

/// Remembers what sidecars have found of their targets' loads, and passes it on
/// to sidecars that have started since.
///
/// Created once by the process; used only on the thread of the event loop; the
/// socket has to outlive it.
class LoadWitness {
public:
  explicit LoadWitness(PeerSocket &Socket) : Socket(Socket) {}

  /// Takes the report of the sidecar at \p Ip, and answers it if it asks for a
  /// verdict that is known here.
  /// @return whether the target may get requests although the report says that
  /// it is switching: its sidecar only asks about a load that is known here to
  /// be whole.
  bool received(const wire::TargetReport &Report, const std::string &Ip);

private:
  PeerSocket &Socket;
  serving::LoadVerdicts Verdicts;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_LOAD_WITNESS_H
