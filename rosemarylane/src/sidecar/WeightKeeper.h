#ifndef ROSEMARYLANE_SIDECAR_WEIGHT_KEEPER_H
#define ROSEMARYLANE_SIDECAR_WEIGHT_KEEPER_H

#include "node/HttpClient.h"
#include "node/NodeSettings.h"
#include "node/PeerSocket.h"
#include "node/StoreFollower.h"
#include "sidecar/TargetWatch.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace rosemarylane {

/// Updates the host's target to the newest named version of its model. A
/// version is named when an operator writes it to the store as the one to
/// serve.
///
/// Fetches the chunks of the version, waits until it is the target's turn to
/// switch, stages the chunks at the target, and orders it to load them. Also
/// serves chunks and manifests to other hosts; pass requests for which
/// `handlesPath` is true to `handleRequest`. Connects the parts of this work,
/// and decides what is done when: `ServedModel` knows which versions there are,
/// `ManifestClient` and `ChunkFetcher` fetch them into the `VersionStore`,
/// `TargetLoader` loads them, `ChunkServer` serves them to other hosts.
///
/// No load order is sent to a target that restarted while the chunks were being
/// staged; chunks that this host holds are kept when the target restarts. The
/// result of a load order is read from the target's state, so it is also known
/// if the response to the order is lost. Runs from `start` until the process
/// exits. Not thread-safe: used only on the thread of the event loop.
class WeightKeeper {
public:
  /// Receives the rate at which the host may send weights, in bytes per second.
  using RateHook = std::function<void(std::uint64_t)>;

  static std::unique_ptr<WeightKeeper>
  start(boost::asio::io_context &Loop, const NodeSettings &Settings,
        HttpClient &Calls, PeerSocket &Link, TargetWatch &Watch,
        const StoreFollower &Follower);
  ~WeightKeeper();

  /// Applies the operators' section of the store: configuration and named
  /// versions.
  void operatorsChanged(const serving::StoreSection::Items &Items);
  /// Applies the registry section of the store: the registered targets.
  void registryChanged(const serving::StoreSection::Items &Items);

  /// Registers \p Hook to be called when the rate changes. Replaces the hook
  /// set before.
  void onRateChange(RateHook Hook);

  /// Registers \p Hook, which counts the responses that wait for this host's
  /// link, those to readers aside.
  void onWaitingResponses(std::function<std::size_t()> Hook);

  /// Handles a peer's report of the chunks that it holds; other messages are
  /// ignored.
  void handleMessage(const wire::NodeMessage &Message);

  /// Takes what a gateway was told of the target's load by the process that ran
  /// here before.
  void loadVerdict(const wire::LoadVerdict &Given);

  /// @return whether \p Path is the HTTP path of a chunk or manifest.
  static bool handlesPath(const std::string &Path);
  /// Responds to a peer's request for a chunk or manifest.
  boost::asio::awaitable<http::Response> handleRequest(std::string Path);

  struct State;

private:
  explicit WeightKeeper(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_WEIGHT_KEEPER_H
