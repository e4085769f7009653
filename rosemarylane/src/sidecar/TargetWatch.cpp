#include "sidecar/TargetWatch.h"

#include "serving/NamedLimit.h"
#include "telemetry/Log.h"

#include <algorithm>
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
/// Time limit of one call that reads the target's state.
constexpr milliseconds ReadTimeout{500};
/// Limit of the size of the target's state.
constexpr std::size_t MaxStateBytes = 64 << 10;
/// Minimum time between reports of changes to gateways of other failure
/// domains. The start and end of a switch, and that the target leaves, are
/// always reported at once.
constexpr milliseconds OtherDomainReportPeriod{200};
/// An unchanged state is reported again after this time.
constexpr milliseconds ReportRepeatPeriod{400};

std::uint32_t percent(double Ratio) {
  constexpr double MaxPercent = 100'000;
  return static_cast<std::uint32_t>(std::clamp(Ratio * 100, 1.0, MaxPercent));
}

/// A change of the target's speed by this factor is reported at once to the
/// gateways of the own failure domain; smaller ones go with the next report.
constexpr double ReportedSpeedChange = 1.5;

bool speedChanged(const wire::TargetReport &A, const wire::TargetReport &B) {
  auto [Faster, Slower] =
      std::minmax({A.slowness_percent(), B.slowness_percent()});
  return Slower >= ReportedSpeedChange * Faster && Slower > 0;
}

/// Compares two reports, ignoring the times that differ in every report, and
/// the speed, which changes all the time.
bool equalExceptTimes(wire::TargetReport A, wire::TargetReport B) {
  bool Planned = A.switch_in_ms() > 0;
  if (Planned != (B.switch_in_ms() > 0))
    return false;
  for (wire::TargetReport *Report : {&A, &B}) {
    Report->clear_switch_in_ms();
    Report->clear_slowness_percent();
    if (Report->has_limit())
      Report->mutable_limit()->clear_age_ms();
  }
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
      co_await readState();
      Timer.expires_after(ReadPeriod);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> readState() {
    HttpClient::Call Call;
    Call.Kind = "state of the own target";
    Call.Request = platform::stateRequest();
    Call.Timeout = ReadTimeout;
    Call.MaxBodyBytes = MaxStateBytes;
    BootTime From = BootClock::now();
    auto Response =
        co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
    if (!Response) {
      markUnreachable(Response.error().Detail);
      co_return;
    }
    auto Decoded = platform::decodeState(*Response);
    if (!Decoded) {
      markUnreachable(Decoded.error().text());
      co_return;
    }
    if (!LastState)
      telemetry::log(telemetry::Level::Info, "target regained",
                     {{"born", Decoded->Born}, {"orders", Decoded->Orders}});
    LastState = std::move(*Decoded);
    if (Hook)
      Hook(*LastState, From);
    sendReports();
  }

  void markUnreachable(const std::string &Reason) {
    if (LastState)
      telemetry::log(telemetry::Level::Warning, "target lost",
                     {{"error", Reason}});
    LastState.reset();
  }

  /// @return what is known of the weights before anybody has judged them.
  LoadStatement unjudged() const {
    LoadStatement Result;
    if (LastState->Orders > 0 && !LastState->Models.empty()) {
      Result.Switching = true;
      Result.VerdictSought = LastState->Orders;
    }
    return Result;
  }

  void addLoadStatement(wire::TargetReport &Report) const {
    LoadStatement Said = Statement.value_or(unjudged());
    // `Busy`: the target is executing a load order.
    Report.set_switching(Said.Switching || LastState->Busy);
    if (Said.VerdictSought && !LastState->Busy)
      Report.set_verdict_sought(*Said.VerdictSought);
    if (!Said.Verdict || Said.Verdict->StartTimeMs != LastState->Born)
      return;
    // Address and incarnation are those of the report, which is sent often.
    wire::LoadVerdict *Verdict = Report.mutable_verdict();
    Verdict->set_orders(Said.Verdict->Orders);
    Verdict->set_version(Said.Verdict->Version);
    Verdict->set_whole(Said.Verdict->Whole);
  }

  wire::TargetReport report() const {
    wire::TargetReport Report;
    Report.set_address(Settings.TargetAddress);
    Report.set_born(LastState->Born);
    Report.set_running(LastState->Running);
    Report.set_waiting(LastState->Waiting);
    if (LastState->MemoryTotal > 0)
      Report.set_memory_permille(static_cast<std::uint32_t>(
          LastState->MemoryUsed * 1000 / LastState->MemoryTotal));
    Report.set_slowness_percent(percent(LastState->Slowness));
    addLoadStatement(Report);
    Report.set_leaving(LastState->Leaving);
    if (SwitchAt) {
      auto Remaining =
          std::chrono::ceil<milliseconds>(*SwitchAt - BootClock::now());
      // 0 would mean that no switch is planned.
      Report.set_switch_in_ms(static_cast<std::uint32_t>(
          std::max<milliseconds::rep>(Remaining.count(), 1)));
    }
    for (const serving::LoadedModel &Loaded : LastState->Models) {
      wire::HeldModel *Held = Report.add_models();
      Held->set_model(Loaded.Model);
      Held->set_version(Loaded.Version);
    }
    if (Limit && Limit->born() == LastState->Born &&
        BootClock::now() - LimitSaidAt < serving::NamedLimit::Lifetime) {
      *Report.mutable_limit() = *Limit;
      auto Age =
          std::chrono::ceil<milliseconds>(BootClock::now() - LimitSaidAt);
      Report.mutable_limit()->set_age_ms(
          static_cast<std::uint32_t>(Age.count()));
    }
    return Report;
  }

  void limitNamed(const wire::NamedLimit &Said) {
    BootTime At = BootClock::now() - milliseconds(Said.age_ms());
    if (Said.address() != Settings.TargetAddress || (Limit && At < LimitSaidAt))
      return;
    Limit = Said;
    LimitSaidAt = At;
  }

  void sendReports() {
    BootTime Now = BootClock::now();
    wire::TargetReport Report = report();
    bool OwnDomainDue = Now - OwnDomainReportedAt >= ReportRepeatPeriod ||
                        speedChanged(Report, LastOwnDomainReport) ||
                        !equalExceptTimes(Report, LastOwnDomainReport);
    bool RemoteDue = Now - RemoteReportedAt >= ReportRepeatPeriod ||
                     (Now - RemoteReportedAt >= OtherDomainReportPeriod &&
                      !equalExceptTimes(Report, LastRemoteReport)) ||
                     Report.switching() != LastRemoteReport.switching() ||
                     Report.leaving() != LastRemoteReport.leaving();
    wire::NodeMessage Message;
    *Message.mutable_target() = Report;
    for (const serving::Peer &Peer : Follower.peers().live(Now)) {
      if (Peer.Role != serving::PeerRole::Gateway)
        continue;
      bool InOwnDomain = Peer.FailureDomain == Settings.FailureDomain;
      if (InOwnDomain ? OwnDomainDue : RemoteDue)
        Link.send(Peer.Ip, Message);
    }
    if (OwnDomainDue) {
      LastOwnDomainReport = Report;
      OwnDomainReportedAt = Now;
    }
    if (RemoteDue) {
      LastRemoteReport = Report;
      RemoteReportedAt = Now;
    }
  }

  asio::io_context &Loop;
  const NodeSettings &Settings;
  HttpClient &Calls;
  PeerSocket &Link;
  const StoreFollower &Follower;
  StateHook Hook;
  std::optional<platform::TargetState> LastState;
  std::optional<LoadStatement> Statement;
  std::optional<BootTime> SwitchAt;
  /// What the target has last said of its limit.
  std::optional<wire::NamedLimit> Limit;
  BootTime LimitSaidAt{};
  wire::TargetReport LastOwnDomainReport;
  wire::TargetReport LastRemoteReport;
  BootTime OwnDomainReportedAt{};
  BootTime RemoteReportedAt{};
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
void TargetWatch::limitNamed(const wire::NamedLimit &Said) {
  S->limitNamed(Said);
}
void TargetWatch::setLoadStatement(const LoadStatement &Found) {
  bool Begins = Found.Switching && !(S->Statement && S->Statement->Switching);
  S->Statement = Found;
  if (Begins && S->LastState)
    S->sendReports();
}
void TargetWatch::setSwitchTime(std::optional<BootTime> At) {
  S->SwitchAt = At;
}
const std::optional<platform::TargetState> &TargetWatch::state() const {
  return S->LastState;
}

} // namespace rosemarylane
