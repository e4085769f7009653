#include "Command.h"
#include "node/HttpClient.h"
#include "node/NodeRuntime.h"
#include "node/PartQuarantineService.h"
#include "node/PeerServer.h"
#include "node/PeerSocket.h"
#include "node/StoreFollower.h"
#include "sidecar/PeerPaths.h"
#include "sidecar/TargetWatch.h"
#include "sidecar/WeightKeeper.h"
#include "sidecar/WeightRate.h"
#include "telemetry/Log.h"

namespace rosemarylane {

namespace {

/// Owns the components of a sidecar and connects them.
///
/// Created on the stack of `runSidecar` and lives until the process exits. Not
/// thread-safe: all callbacks run on the thread of the event loop.
class SidecarProcess {
public:
  explicit SidecarProcess(NodeRuntime &Runtime)
      : Runtime(Runtime), Settings(Runtime.settings()), Calls(Runtime.loop()) {}

  bool start();

private:
  boost::asio::awaitable<http::Response>
  handlePeerRequest(const http::Request &Request);

  NodeRuntime &Runtime;
  const NodeSettings &Settings;
  HttpClient Calls;
  std::unique_ptr<PeerSocket> Link;
  /// Besides its copy of the store's sections, tracks the live peers and serves
  /// the sections to them.
  std::unique_ptr<StoreFollower> Follower;
  std::unique_ptr<PartQuarantineService> Quarantine;
  std::unique_ptr<TargetWatch> Watch;
  std::unique_ptr<WeightKeeper> Weights;
  /// Serves chunks, manifests and store sections to peers.
  std::unique_ptr<PeerServer> PeerListener;
};

bool SidecarProcess::start() {
  Link = PeerSocket::open(
      Runtime.loop(), Settings, serving::PeerRole::Sidecar,
      [this](const wire::NodeMessage &Message, const std::string &) {
        if (Follower)
          Follower->received(Message);
        if (Quarantine)
          Quarantine->received(Message);
        if (Watch && Message.has_named_limit())
          Watch->limitNamed(Message.named_limit());
        if (Weights && Message.has_load_verdict())
          Weights->loadVerdict(Message.load_verdict());
        if (Weights)
          Weights->handleMessage(Message);
      });
  if (!Link)
    return false;
  StoreFollower::Hooks Hooks;
  Hooks.OnOperatorsChanged = [this](const serving::StoreSection::Items &Items,
                                    std::optional<core::BootTime>) {
    Weights->operatorsChanged(Items);
  };
  Hooks.OnRegistryChanged = [this](const serving::StoreSection::Items &Items) {
    Weights->registryChanged(Items);
  };
  Follower =
      StoreFollower::start(Runtime.loop(), Settings, serving::PeerRole::Sidecar,
                           Calls, *Link, std::move(Hooks));
  Quarantine =
      PartQuarantineService::start(Runtime.loop(), *Link, Follower->peers());
  // The store is not read before the loop runs, so both objects exist by the
  // time the hooks are called.
  Watch = TargetWatch::start(Runtime.loop(), Settings, Calls, *Link, *Follower);
  Weights = WeightKeeper::start(Runtime.loop(), Settings, Calls, *Link, *Watch,
                                *Follower);
  PeerListener = PeerServer::listen(
      Runtime.loop(), Settings.Ip + ":" + std::to_string(Settings.PeerPort),
      [this](const http::Request &R) { return handlePeerRequest(R); },
      weightRateLimit(Settings, false),
      // A sidecar has no callers: their share is free for peers.
      std::min(http::ConnectionShares::of(Settings.descriptors()).Callers,
               PeerServer::DefaultMaxConnections));
  if (!PeerListener)
    return false;
  Weights->onRateChange(
      // Limits the total rate of large responses, which here are chunks.
      [this](std::uint64_t Rate) { PeerListener->setLargeResponseRate(Rate); });
  Weights->onWaitingResponses(
      [this] { return PeerListener->waitingLargeResponses(asksHolder); });
  return true;
}

boost::asio::awaitable<http::Response>
SidecarProcess::handlePeerRequest(const http::Request &Request) {
  if (auto Reply = Follower->answer(Request.Target))
    co_return std::move(*Reply);
  http::Response Reply;
  if (WeightKeeper::handlesPath(Request.Target)) {
    Reply = co_await Weights->handleRequest(Request.Target);
    co_return Reply;
  }
  Reply.Head.Status = 404;
  co_return Reply;
}

} // namespace

ExitCode runSidecar(int Argc, const char **Argv) {
  // `NodeKind` selects the settings of this process, `PeerRole` is what it
  // tells its peers.
  auto Runtime = NodeRuntime::create(NodeKind::Sidecar, Argc, Argv);
  if (!Runtime)
    return Runtime.error();
  SidecarProcess Process(**Runtime);
  // A socket or listener of this process could not be opened.
  if (!Process.start())
    NodeRuntime::exit(ExitCode::Unreachable);
  (*Runtime)->run([&] { (*Runtime)->stop(); });
  NodeRuntime::exit(ExitCode::Ok);
}

} // namespace rosemarylane
