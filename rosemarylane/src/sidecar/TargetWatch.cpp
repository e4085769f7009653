#include "sidecar/TargetWatch.h"

#include "telemetry/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ReadPeriod{60};
constexpr milliseconds ReadDeadline{500};
/// Gateways of other failure domains hear of changes at most this often.
constexpr milliseconds FarPeriod{200};
/// An unchanged state is told again after this long.
constexpr milliseconds RepeatPeriod{400};

/// The time until a switch changes all the time, and is left out.
bool sameWork(wire::TargetReport A, wire::TargetReport B) {
  bool Planned = A.switch_in_ms() > 0;
  if (Planned != (B.switch_in_ms() > 0))
    return false;
  A.clear_switch_in_ms();
  B.clear_switch_in_ms();
  return A.SerializeAsString() == B.SerializeAsString();
}

} // namespace

struct TargetWatch::State : std::enable_shared_from_this<TargetWatch::State> {
  State(asio::io_context &Loop, const NodeSettings &Settings, HttpClient &Calls,
        PeerSocket &Link, const StoreFollower &Follower)
      : Loop(Loop), Settings(Settings), Calls(Calls), Link(Link),
        Follower(Follower) {}

  asio::awaitable<void> run() {
    asio::steady_timer Timer(Loop);
    for (;;) {
      co_await read();
      Timer.expires_after(ReadPeriod);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> read() {
    HttpClient::Call Call;
    Call.Request = platform::stateRequest();
    Call.Deadline = ReadDeadline;
    auto Answer =
        co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
    if (!Answer) {
      lost(Answer.error().Detail);
      co_return;
    }
    auto Read = platform::decodeState(*Answer);
    if (!Read) {
      lost(Read.error().text());
      co_return;
    }
    if (!Known)
      telemetry::log(telemetry::Level::Info, "target regained",
                     {{"born", Read->Born}});
    Known = std::move(*Read);
    if (Hook)
      Hook(*Known);
    tell();
  }

  void lost(const std::string &Why) {
    if (Known)
      telemetry::log(telemetry::Level::Warning, "target lost",
                     {{"error", Why}});
    Known.reset();
  }

  wire::TargetReport report() const {
    wire::TargetReport Report;
    Report.set_address(Settings.TargetAddress);
    Report.set_born(Known->Born);
    Report.set_running(Known->Running);
    Report.set_waiting(Known->Waiting);
    if (Known->MemoryTotal > 0)
      Report.set_memory_permille(static_cast<std::uint32_t>(
          Known->MemoryUsed * 1000 / Known->MemoryTotal));
    Report.set_switching(Switching || Known->Busy);
    if (SwitchAt) {
      auto Left = std::chrono::ceil<milliseconds>(*SwitchAt - BootClock::now());
      // 0 would mean that none is planned.
      Report.set_switch_in_ms(static_cast<std::uint32_t>(
          std::max<milliseconds::rep>(Left.count(), 1)));
    }
    for (const serving::LoadedModel &M : Known->Models) {
      wire::HeldModel *Held = Report.add_models();
      Held->set_model(M.Model);
      Held->set_version(M.Version);
    }
    return Report;
  }

  void tell() {
    BootTime Now = BootClock::now();
    wire::TargetReport Report = report();
    bool Due = Now - ToldNear >= RepeatPeriod || !sameWork(Report, LastNear);
    bool FarDue = Now - ToldFar >= RepeatPeriod ||
                  (Now - ToldFar >= FarPeriod && !sameWork(Report, LastFar)) ||
                  Report.switching() != LastFar.switching();
    wire::NodeMessage Message;
    *Message.mutable_target() = Report;
    for (const serving::Peer &Peer : Follower.peers().live(Now)) {
      if (Peer.Role != serving::PeerRole::Gateway)
        continue;
      bool Near = Peer.FailureDomain == Settings.FailureDomain;
      if (Near ? Due : FarDue)
        Link.send(Peer.Ip, Message);
    }
    if (Due) {
      LastNear = Report;
      ToldNear = Now;
    }
    if (FarDue) {
      LastFar = Report;
      ToldFar = Now;
    }
  }

  asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Calls;
  PeerSocket &Link;
  const StoreFollower &Follower;
  StateHook Hook;
  std::optional<platform::TargetState> Known;
  bool Switching = false;
  std::optional<BootTime> SwitchAt;
  wire::TargetReport LastNear;
  wire::TargetReport LastFar;
  BootTime ToldNear{};
  BootTime ToldFar{};
};

std::unique_ptr<TargetWatch> TargetWatch::start(asio::io_context &Loop,
                                                const NodeSettings &Settings,
                                                HttpClient &Calls,
                                                PeerSocket &Link,
                                                const StoreFollower &Follower) {
  auto S = std::make_shared<State>(Loop, Settings, Calls, Link, Follower);
  asio::co_spawn(
      Loop, [S]() -> asio::awaitable<void> { co_await S->run(); },
      asio::detached);
  return std::unique_ptr<TargetWatch>(new TargetWatch(std::move(S)));
}

TargetWatch::TargetWatch(std::shared_ptr<State> S) : S(std::move(S)) {}
TargetWatch::~TargetWatch() = default;

void TargetWatch::onState(StateHook Hook) { S->Hook = std::move(Hook); }
void TargetWatch::setSwitching(bool Switching) { S->Switching = Switching; }
void TargetWatch::setSwitchTime(std::optional<BootTime> At) {
  S->SwitchAt = At;
}
const std::optional<platform::TargetState> &TargetWatch::state() const {
  return S->Known;
}

} // namespace rosemarylane
