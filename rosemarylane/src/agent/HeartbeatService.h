#ifndef ROSEMARYLANE_AGENT_HEARTBEAT_SERVICE_H
#define ROSEMARYLANE_AGENT_HEARTBEAT_SERVICE_H

#include "common/Messages.h"
#include "common/ProcessContext.h"
#include "core/Digest.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <vector>

namespace rosemarylane {

/// An agent's link to the entries of its failure domain: sends heartbeats, and
/// learns which other agents live.
///
/// On the control duty.
class HeartbeatService {
public:
  using HoldingsSource = std::function<std::vector<wire::Holding>()>;

  static std::unique_ptr<HeartbeatService> create(ProcessContext &Context,
                                                  const MessageSender &Send,
                                                  HoldingsSource Holdings);
  virtual ~HeartbeatService() = default;

  /// Handles HeartbeatReply, MembersReply and QuarantineNotice.
  virtual void receive(const wire::Peer &From,
                       const wire::Envelope &Message) = 0;

  /// Sends a heartbeat at once, because what the agent serves has changed.
  virtual void sendNow() = 0;

  /// @return the live agents of the fleet, this one included, as the entries
  /// see them.
  virtual const std::vector<wire::MemberSummary> &agents() const = 0;

  /// Calls \p Hook after each change of `agents`.
  virtual void onAgents(std::function<void()> Hook) = 0;

  /// Reports digests of requests that were in progress when the target died.
  /// @return what is to be told to the entries that sent them, before they hear
  /// of the failure and try again.
  virtual wire::QuarantineNotice
  reportSuspects(std::vector<core::Digest> Requests) = 0;

  /// @return whether requests with this digest have killed targets.
  virtual bool quarantined(const core::Digest &Request) const = 0;

  /// @return whether a request with this digest may have killed a target: it
  /// runs alone among such requests.
  virtual bool suspected(const core::Digest &Request) const = 0;

  /// A request with this digest was answered whole.
  virtual void acquit(const core::Digest &Request) = 0;

  virtual void startDraining() = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_HEARTBEAT_SERVICE_H
