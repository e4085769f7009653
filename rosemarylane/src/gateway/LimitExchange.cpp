#include "gateway/LimitExchange.h"

#include "telemetry/Log.h"

#include <chrono>

namespace rosemarylane {

using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds RepeatPeriod{1000};

} // namespace

void LimitExchange::heard(const serving::SelectedTarget &Target,
                          std::optional<double> PerSecond) {
  BootTime Now = BootClock::now();
  bool Changed = Targets.updateNamedLimit(Target.Address, Target.StartTimeMs,
                                          PerSecond, Now);
  std::erase_if(ToldAt, [&](const auto &Entry) {
    return Now - Entry.second >= serving::NamedLimit::Lifetime;
  });
  auto Told = ToldAt.find(Target.Address);
  bool Due =
      PerSecond && (Told == ToldAt.end() || Now - Told->second >= RepeatPeriod);
  if (!Changed && !Due)
    return;
  if (Changed)
    telemetry::log(
        telemetry::Level::Info, "limit named",
        {{"target", Target.Id.str()}, {"per_second", PerSecond.value_or(-1)}});
  ToldAt[Target.Address] = Now;
  wire::NamedLimit Said;
  Said.set_address(Target.Address);
  Said.set_born(Target.StartTimeMs);
  if (PerSecond)
    Said.set_per_second(*PerSecond);
  tell(Said, Now);
}

void LimitExchange::tell(const wire::NamedLimit &Said, BootTime Now) {
  wire::NodeMessage Message;
  *Message.mutable_named_limit() = Said;
  std::string Host = Said.address().substr(0, Said.address().find(':'));
  auto Beside = Peers.entries().find(Host);
  bool HasSidecar = Beside != Peers.entries().end() &&
                    Peers.isLive(Host, Now) &&
                    Beside->second.Details.Role == serving::PeerRole::Sidecar;
  if (HasSidecar)
    return Socket.send(Host, std::move(Message));
  for (const serving::Peer &Peer : Peers.live(Now))
    if (Peer.Role == serving::PeerRole::Gateway)
      Socket.send(Peer.Ip, Message);
}

void LimitExchange::received(const wire::NamedLimit &Said) {
  std::optional<double> PerSecond;
  if (Said.has_per_second())
    PerSecond = Said.per_second();
  (void)Targets.updateNamedLimit(Said.address(), Said.born(), PerSecond,
                                 BootClock::now() -
                                     milliseconds(Said.age_ms()));
}

} // namespace rosemarylane
