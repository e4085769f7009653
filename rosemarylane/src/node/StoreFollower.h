#ifndef ROSEMARYLANE_NODE_STORE_FOLLOWER_H
#define ROSEMARYLANE_NODE_STORE_FOLLOWER_H

#include "core/BootClock.h"
#include "http/Message.h"
#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "node/PeerSocket.h"
#include "platform/Records.h"
#include "serving/PeerTable.h"
#include "serving/StoreSection.h"
#include "wire/node.pb.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane {

/// Maintains this process's copy of the platform's store, in two sections: what
/// operators have written (configuration, evacuated failure domains and named
/// versions of weights), and the registry, in which targets register
/// themselves.
///
/// The first process in the store reader order of its failure domain reads the
/// store periodically. All others query it and fetch a section if the peer's
/// copy is newer. See `serving::ReadSchedule` for when another process takes
/// over, and `serving::StoreSection` for how staleness is counted. Used only on
/// the loop's thread; all references passed to `start` have to outlive it.
class StoreFollower {
public:
  struct Hooks {
    /// Called when the operators section has changed, with its items.
    /// @param CountdownStart time from which the activation delay of a version
    /// that the change names is counted: when the previous content of the
    /// section was last confirmed, or the last failed read of the store if the
    /// store was down since (see `serving::StoreOutage`). Absent if there was
    /// no previous content.
    std::function<void(const serving::StoreSection::Items &,
                       std::optional<core::BootTime> CountdownStart)>
        OnOperatorsChanged;
    /// Called when the registry has changed, with its items: those of the
    /// section, and those that this process retains because their leases may
    /// have expired with an outage of the store (see `serving::LapsedEntries`).
    std::function<void(const serving::StoreSection::Items &)> OnRegistryChanged;
    /// Called when a message has added processes to the peer table; not called
    /// when silent ones are removed.
    std::function<void()> OnPeersAdded;
  };

  /// Starts reading the store and exchanging messages with peers.
  static std::unique_ptr<StoreFollower>
  start(boost::asio::io_context &Loop, const NodeSettings &Settings,
        serving::PeerRole Role, HttpClient &Client, PeerSocket &Socket,
        Hooks Callbacks);
  ~StoreFollower();

  /// Handles the bodies `ask` and `reply` of a peer's message. To be called for
  /// every message, as each one shows that its sender is alive.
  void received(const wire::NodeMessage &Message);

  /// Serves a section to a peer.
  /// @param Path path of the request.
  /// @return the response, or nothing if the path is not that of a section.
  std::optional<http::Response> answer(const std::string &Path) const;

  /// @return the age of the proof that no operators' record was acknowledged
  /// that this process lacks; absent before the first. See
  /// `serving::SectionCopy::proofAge`.
  std::optional<std::chrono::milliseconds> operatorsProofAge() const;

  /// @return the time since the registry was last confirmed; absent before the
  /// first read.
  std::optional<std::chrono::milliseconds> registryStaleness() const;

  const serving::PeerTable &peers() const;

  /// @return number of requests sent to the store so far.
  std::uint64_t storeRequestCount() const;

  struct State;

private:
  explicit StoreFollower(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_STORE_FOLLOWER_H
