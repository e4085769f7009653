#ifndef ROSEMARYLANE_NODE_PART_QUARANTINE_SERVICE_H
#define ROSEMARYLANE_NODE_PART_QUARANTINE_SERVICE_H

#include "node/PeerSocket.h"
#include "routing/PartQuarantine.h"
#include "serving/PeerTable.h"
#include "serving/RegisteredTarget.h"
#include "wire/node.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rosemarylane {

/// Shares with all gateways and sidecars what is known of requests and of parts
/// of prompts that crash targets, see `routing::PartQuarantine`.
///
/// A gateway sends what it learns to all live gateways at once, and to the
/// sidecars of its failure domain. Besides, each process compares a digest with
/// a few peers every second, and more often while it is new, so that one that
/// missed a message or has just started catches up. Sidecars send no requests
/// but remember, so that the knowledge outlives a restart of all gateways.
/// Created once by the process; used only on the thread of the event loop; the
/// references passed to `start` have to outlive it.
class PartQuarantineService {
public:
  static std::unique_ptr<PartQuarantineService>
  start(boost::asio::io_context &Loop, PeerSocket &Socket,
        const serving::PeerTable &Peers);

  /// @return the id of the death of the target that has been at \p Address
  /// since \p StartTimeMs.
  static std::uint64_t deathId(const std::string &Address,
                               std::int64_t StartTimeMs);

  /// How far a request had come when its connection to a target broke.
  struct Progress {
    /// Time since it was sent.
    std::chrono::milliseconds InProgress{0};
    bool AnswerBegun = false;
  };

  /// Records that a request's connection to a target broke.
  void requestBroke(std::uint64_t Death,
                    routing::PartQuarantine::Subject Request, Progress Until);

  /// Records that an answer has begun on a prompt with these parts.
  void answerBegun(const std::vector<std::string> &Parts);

  /// Records that a request was answered whole.
  void answeredWhole(const routing::PartQuarantine::Subject &Request);

  /// Records the targets that were registered at \p ReadAt.
  void targetsRegistered(const std::vector<serving::RegisteredTarget> &Targets,
                         core::BootTime ReadAt);

  /// Records that a target's sidecar has just reported.
  void targetAlive(const std::string &Address, std::int64_t StartTimeMs);

  /// @return whether something is known against any request, so that `refuses`
  /// has to be asked.
  bool watchful() const { return !Known.empty(); }

  /// @return whether a request must not be sent to a target.
  bool refuses(const routing::PartQuarantine::Subject &Request) const;

  void received(const wire::NodeMessage &Message);

private:
  PartQuarantineService(boost::asio::io_context &Loop, PeerSocket &Socket,
                        const serving::PeerTable &Peers)
      : Socket(Socket), Peers(Peers), Timer(Loop),
        StartedAt(core::BootClock::now()), Random(std::random_device{}()) {}

  void scheduleTick();
  void askPeers(core::BootTime Now);
  std::chrono::milliseconds askPeriod(core::BootTime Now) const;
  void tell(const std::string &Ip, core::BootTime Now);
  /// Sends to all gateways, and to the sidecars of this failure domain.
  void spread(const wire::NodeMessage &Message, core::BootTime Now);
  /// Tells all gateways when an answer last began on these parts.
  void spreadAnswered(const std::vector<std::string> &Parts,
                      core::BootTime Now);
  void addAnswered(const std::vector<std::string> &Parts, core::BootTime Now,
                   wire::CrashEvidence &To) const;
  void spreadAnsweredWhole(const std::vector<std::uint64_t> &Requests,
                           core::BootTime Now);
  void addAnsweredWhole(std::uint64_t Request, core::BootTime Now,
                        wire::CrashEvidence &To) const;
  /// Takes what a peer says of answers on one part.
  /// @return whether this clears the part.
  bool addAnswerFromPeer(const wire::AnsweredPart &Source, core::BootTime Now);
  /// Takes what a peer says of answers.
  void addAnswersFromPeer(const wire::CrashEvidence &Source,
                          core::BootTime Now);
  /// Logs what is refused, if that has changed.
  void logConvictions();
  /// Adds an incident and logs it.
  bool add(routing::PartQuarantine::Incident Report);
  void addFromPeer(const wire::CrashIncident &Source, const std::string &Ip,
                   core::BootTime Now);

  PeerSocket &Socket;
  const serving::PeerTable &Peers;
  boost::asio::steady_timer Timer;
  core::BootTime StartedAt;
  std::mt19937_64 Random;
  routing::PartQuarantine Known;
  core::BootTime RegistryCheckedAt{};
  /// The parts and requests as last logged by `logConvictions`.
  std::vector<std::string> LoggedRefused;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_PART_QUARANTINE_SERVICE_H
