#ifndef ROSEMARYLANE_WIRE_PEER_NODE_H
#define ROSEMARYLANE_WIRE_PEER_NODE_H

#include "core/Result.h"
#include "runtime/Duty.h"

#include <chrono>
#include <compare>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane::wire {

class Envelope;

/// Where a message came from or goes to: a connection that we opened, or one
/// that a peer opened to us.
///
/// A plain value type. Sending to an incoming peer that has gone drops the
/// message.
struct Peer {
  enum class Direction { Outgoing, Incoming };

  Direction Way = Direction::Outgoing;
  /// `IP:port` if outgoing, else the connection's identity.
  std::string Key;

  /// The peer that listens at \p Address (`IP:port`).
  static Peer at(std::string Address) {
    return {Direction::Outgoing, std::move(Address)};
  }

  auto operator<=>(const Peer &) const = default;
};

/// Why a peer node could not be made.
struct LinkError {
  std::string Detail;
};

/// Settings of a peer node.
struct PeerSettings {
  /// `IP:port` on which other processes reach this one.
  std::string Listen;
  /// Messages that wait for one peer before more to it are dropped.
  int HighWaterMark = 4096;
  std::chrono::milliseconds HeartbeatInterval{700};
  /// A connection that is silent for this long is closed and replaced.
  std::chrono::milliseconds HeartbeatTimeout{1200};
  /// An outgoing connection that has carried nothing for this long is closed;
  /// the next message opens a new one.
  std::chrono::milliseconds IdleTimeout{30000};
  std::size_t MaxMessageBytes = 64 << 20;
};

/// Traffic counted since the start.
struct PeerTraffic {
  std::uint64_t MessagesIn = 0;
  std::uint64_t MessagesOut = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  /// Frames that are not a message of the system.
  std::uint64_t Malformed = 0;
  /// Messages dropped because a ring or a connection was full.
  std::uint64_t Dropped = 0;
  /// Outgoing connections that are open.
  std::uint64_t Connections = 0;
};

/// This process's links to others: one listening socket, and one connection to
/// each peer that it sends to.
///
/// A message to a peer is delivered whole, at most once, or lost: every
/// exchange needs a deadline of its own. Owns a thread. `send` may be called
/// from any thread; messages reach the hook on the duty given.
class PeerNode {
public:
  using MessageHook = std::function<void(const Peer &From, Envelope Message)>;

  /// @param Deliver the duty on which \p OnMessage runs; it outlives the node.
  static core::Result<std::unique_ptr<PeerNode>, LinkError>
  start(PeerSettings Settings, runtime::Duty &Deliver, MessageHook OnMessage);

  ~PeerNode();

  /// Queues \p Message. An outgoing connection is opened when first used.
  /// @return false if it was dropped at once because the node's ring is full.
  bool send(const Peer &To, const Envelope &Message);

  /// Closes the outgoing connection to \p Address; the next message opens a new
  /// one.
  void reconnect(const std::string &Address);

  PeerTraffic traffic() const;

private:
  struct State;
  explicit PeerNode(std::unique_ptr<State> S);
  std::unique_ptr<State> S;
};

} // namespace rosemarylane::wire

#endif // ROSEMARYLANE_WIRE_PEER_NODE_H
