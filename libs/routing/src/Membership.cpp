#include "routing/Membership.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace rosemarylane::routing {

bool Membership::observe(const Member &Told, std::chrono::milliseconds Age,
                         core::TimePoint Now) {
  Key Who{Told.Role, Told.Host};
  auto Found = Records.find(Who);
  core::TimePoint HeardAt = Now - Age;
  if (Found == Records.end()) {
    if (Age >= Settings.ForgetAfter || Records.size() >= Settings.Capacity)
      return false;
    Records.emplace(std::move(Who), Record{Told, HeardAt});
    return true;
  }
  Record &Known = Found->second;
  // An earlier start replaces only a dead one: the host's clock was set back.
  if (Told.Incarnation < Known.What.Incarnation &&
      state(Known, Now) != State::Dead)
    return false;
  if (Told.Incarnation != Known.What.Incarnation) {
    Known = {Told, HeardAt};
    return true;
  }
  Known.HeardAt = std::max(Known.HeardAt, HeardAt);
  if (Told.Sequence <= Known.What.Sequence)
    return false;
  Known.What = Told;
  return true;
}

void Membership::markGone(const Key &Who, core::TimePoint Now) {
  auto Found = Records.find(Who);
  if (Found == Records.end())
    return;
  auto Silence = std::max(Settings.DeadAfter, Settings.RemoteDeadAfter);
  Found->second.HeardAt = std::min(Found->second.HeardAt, Now - Silence);
}

void Membership::confirmAll(const core::FailureDomainId &Domain,
                            std::chrono::milliseconds Age,
                            core::TimePoint Now) {
  for (auto &[Who, Known] : Records)
    if (Known.What.FailureDomain == Domain && state(Known, Now) != State::Dead)
      Known.HeardAt = std::max(Known.HeardAt, Now - Age);
}

std::map<Membership::Key, std::uint64_t>
Membership::view(const core::FailureDomainId &Domain, State Worst,
                 core::TimePoint Now) const {
  std::map<Key, std::uint64_t> View;
  for (const auto &[Who, Known] : Records)
    if (Known.What.FailureDomain == Domain && state(Known, Now) <= Worst)
      View.emplace(Who, identityDigest(Known.What));
  return View;
}

void Membership::noteRevision(const Key &Who, std::uint64_t Revision) {
  auto Found = Records.find(Who);
  if (Found != Records.end())
    Found->second.What.Revision =
        std::max(Found->second.What.Revision, Revision);
}

void Membership::updateLoad(const Key &Who, std::uint64_t Incarnation,
                            const Load &Now, std::chrono::milliseconds Time,
                            core::TimePoint At) {
  auto Found = Records.find(Who);
  if (Found == Records.end() || Found->second.What.Incarnation != Incarnation ||
      Found->second.What.Time > Time)
    return;
  Record &Known = Found->second;
  Known.What.Time = Time;
  Known.HeardAt = std::max(Known.HeardAt, At);
  for (Holding &H : Known.What.Holdings)
    H.CurrentLoad = Now;
}

void Membership::discountPause(core::Duration Gap, core::TimePoint Now) {
  for (auto &[Who, Known] : Records)
    Known.HeardAt = std::min(Known.HeardAt + Gap, Now);
}

void Membership::expire(core::TimePoint Now) {
  std::erase_if(Records, [&](const auto &Item) {
    return Now - Item.second.HeardAt >= Settings.ForgetAfter;
  });
}

Membership::State Membership::state(const Record &Of,
                                    core::TimePoint Now) const {
  auto Silent = Now - Of.HeardAt;
  bool Remote = Of.What.FailureDomain != Own;
  if (Silent >= (Remote ? Settings.RemoteDeadAfter : Settings.DeadAfter))
    return State::Dead;
  if (Silent >= (Remote ? Settings.RemoteSuspectAfter : Settings.SuspectAfter))
    return State::Suspect;
  return State::Alive;
}

const Membership::Record *Membership::find(const Key &Who) const {
  auto Found = Records.find(Who);
  return Found == Records.end() ? nullptr : &Found->second;
}

void Membership::forEachPresent(
    core::TimePoint Now,
    const std::function<void(const Record &)> &Visit) const {
  for (const auto &[Who, Known] : Records)
    if (state(Known, Now) != State::Dead)
      Visit(Known);
}

std::uint64_t identityDigest(const Member &M) {
  std::string Text = M.Host.str() + '\n' + M.PeerAddress + '\n' +
                     std::to_string(M.Incarnation) + (M.Draining ? 'd' : 'a');
  for (const Holding &H : M.Holdings) {
    Text +=
        '\n' + H.Entry.str() + (H.Serving ? 's' : 'n') + (H.Warm ? 'w' : 'c');
    Text += H.Version.bytes();
    Text += H.FailedVersion.bytes();
  }
  return core::rendezvousWeight(M.Role == MemberRole::Entry ? "entry" : "agent",
                                Text);
}

std::uint64_t digestOf(const std::map<Membership::Key, std::uint64_t> &View) {
  std::uint64_t Sum = 0;
  for (const auto &[Who, Digest] : View)
    Sum += Digest;
  return Sum;
}

std::uint32_t shortHash(const core::HostId &Host) {
  return static_cast<std::uint32_t>(core::rendezvousWeight("host", Host.str()));
}

} // namespace rosemarylane::routing
