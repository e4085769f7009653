#include "Command.h"
#include "node/HttpClient.h"
#include "node/NodeRuntime.h"
#include "node/PeerServer.h"
#include "node/PeerSocket.h"
#include "node/StoreFollower.h"
#include "sidecar/TargetWatch.h"
#include "sidecar/WeightKeeper.h"
#include "sidecar/WeightRate.h"
#include "telemetry/Log.h"

namespace rosemarylane {

namespace {

/// The sidecar: its parts, and what joins them.
class SidecarProcess {
public:
  explicit SidecarProcess(NodeRuntime &Runtime)
      : Runtime(Runtime), Settings(Runtime.settings()), Calls(Runtime.loop()) {}

  bool start();

private:
  boost::asio::awaitable<http::Response>
  answerPeer(const http::Request &Request);

  NodeRuntime &Runtime;
  const NodeSettings &Settings;
  HttpClient Calls;
  std::unique_ptr<PeerSocket> Link;
  std::unique_ptr<StoreFollower> Follower;
  std::unique_ptr<TargetWatch> Watch;
  std::unique_ptr<WeightKeeper> Keeper;
  std::unique_ptr<PeerServer> Peers;
};

bool SidecarProcess::start() {
  Link = PeerSocket::open(
      Runtime.loop(), Settings, serving::PeerRole::Sidecar,
      [this](const wire::NodeMessage &Message, const std::string &) {
        if (Follower)
          Follower->received(Message);
        if (Keeper)
          Keeper->received(Message);
      });
  if (!Link)
    return false;
  StoreFollower::Hooks Hooks;
  Hooks.OnOperatorsChanged = [this](const serving::StoreSection &Section,
                                    std::optional<core::BootTime>) {
    Keeper->operatorsChanged(Section);
  };
  Hooks.OnRegistryChanged = [this](const serving::StoreSection &Section) {
    Keeper->registryChanged(Section);
  };
  Follower =
      StoreFollower::start(Runtime.loop(), Settings, serving::PeerRole::Sidecar,
                           Calls, *Link, std::move(Hooks));
  // Nothing of the store is read before the loop runs, so the hooks find both.
  Watch = TargetWatch::start(Runtime.loop(), Settings, Calls, *Link, *Follower);
  Keeper = WeightKeeper::start(Runtime.loop(), Settings, Calls, *Link, *Watch,
                               *Follower);
  Peers = PeerServer::listen(
      Runtime.loop(), Settings.Ip + ":" + std::to_string(Settings.PeerPort),
      [this](const http::Request &R) { return answerPeer(R); },
      weightRate(Settings, false));
  if (!Peers)
    return false;
  Keeper->onRate([this](std::uint64_t Rate) { Peers->setLargeRate(Rate); });
  return true;
}

boost::asio::awaitable<http::Response>
SidecarProcess::answerPeer(const http::Request &Request) {
  if (auto Answer = Follower->answer(Request.Target))
    co_return std::move(*Answer);
  http::Response Answer;
  if (WeightKeeper::owns(Request.Target)) {
    Answer = co_await Keeper->answer(Request.Target);
    co_return Answer;
  }
  Answer.Head.Status = 404;
  co_return Answer;
}

} // namespace

ExitCode runSidecar(int Argc, const char **Argv) {
  auto Runtime = NodeRuntime::create(NodeKind::Sidecar, Argc, Argv);
  if (!Runtime)
    return Runtime.error();
  SidecarProcess Process(**Runtime);
  if (!Process.start())
    NodeRuntime::exit(ExitCode::Unreachable);
  (*Runtime)->run([&] { (*Runtime)->stop(); });
  NodeRuntime::exit(ExitCode::Ok);
}

} // namespace rosemarylane
