#include "routing/Membership.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace rosemarylane::routing {

bool Membership::observe(const Member &Update, std::chrono::milliseconds Age,
                         core::TimePoint Now) {
  Key MemberKey{Update.Role, Update.Host};
  auto Found = Records.find(MemberKey);
  core::TimePoint AliveAt = Now - Age;
  if (Found == Records.end()) {
    if (Age >= Settings.ForgetAfter || Records.size() >= Settings.Capacity)
      return false;
    Records.emplace(std::move(MemberKey), Record{Update, AliveAt});
    return true;
  }
  Record &Known = Found->second;
  // A lower incarnation means a delayed message, unless the known one is dead:
  // then the host's clock was set back.
  if (Update.Incarnation < Known.What.Incarnation &&
      state(Known, Now) != State::Dead)
    return false;
  if (Update.Incarnation != Known.What.Incarnation) {
    Known = {Update, AliveAt};
    return true;
  }
  Known.LeftOut = false;
  Known.LastHeardAt = std::max(Known.LastHeardAt, AliveAt);
  if (Update.Sequence <= Known.What.Sequence)
    return false;
  Known.What = Update;
  return true;
}

void Membership::markDead(const Key &MemberKey, std::uint64_t Incarnation,
                          core::TimePoint Now) {
  auto Found = Records.find(MemberKey);
  if (Found == Records.end() || Found->second.What.Incarnation > Incarnation)
    return;
  auto Silence = std::max(Settings.DeadAfter, Settings.RemoteDeadAfter);
  Found->second.LastHeardAt =
      std::min(Found->second.LastHeardAt, Now - Silence);
}

void Membership::leaveOut(const Key &MemberKey) {
  auto Found = Records.find(MemberKey);
  if (Found != Records.end())
    Found->second.LeftOut = true;
}

void Membership::confirmAlive(const core::FailureDomainId &Domain,
                              std::chrono::milliseconds Age,
                              core::TimePoint Now) {
  for (auto &[MemberKey, Known] : Records)
    if (Known.What.FailureDomain == Domain && !Known.LeftOut &&
        state(Known, Now) != State::Dead)
      Known.LastHeardAt = std::max(Known.LastHeardAt, Now - Age);
}

std::map<Membership::Key, std::uint64_t>
Membership::view(const core::FailureDomainId &Domain, State Worst,
                 core::TimePoint Now) const {
  std::map<Key, std::uint64_t> View;
  for (const auto &[MemberKey, Known] : Records)
    if (Known.What.FailureDomain == Domain && !Known.LeftOut &&
        state(Known, Now) <= Worst)
      View.emplace(MemberKey, stateDigest(Known.What));
  return View;
}

void Membership::updateRevision(const Key &MemberKey, std::uint64_t Revision) {
  auto Found = Records.find(MemberKey);
  if (Found != Records.end())
    Found->second.What.Revision =
        std::max(Found->second.What.Revision, Revision);
}

void Membership::updateLoad(const Key &MemberKey, std::uint64_t Incarnation,
                            const Load &NewLoad,
                            std::chrono::milliseconds Uptime,
                            core::TimePoint ReceivedAt) {
  auto Found = Records.find(MemberKey);
  if (Found == Records.end() || Found->second.What.Incarnation != Incarnation ||
      Found->second.What.Uptime > Uptime)
    return;
  Record &Known = Found->second;
  Known.What.Uptime = Uptime;
  Known.LastHeardAt = std::max(Known.LastHeardAt, ReceivedAt);
  for (Holding &H : Known.What.Holdings)
    H.TargetLoad = NewLoad;
}

void Membership::compensateForPause(core::Duration Gap, core::TimePoint Now) {
  for (auto &[MemberKey, Known] : Records)
    Known.LastHeardAt = std::min(Known.LastHeardAt + Gap, Now);
}

void Membership::expire(core::TimePoint Now) {
  std::erase_if(Records, [&](const auto &Item) {
    return Now - Item.second.LastHeardAt >= Settings.ForgetAfter;
  });
}

Membership::State Membership::state(const Record &Known,
                                    core::TimePoint Now) const {
  auto SilentFor = Now - Known.LastHeardAt;
  bool Remote = Known.What.FailureDomain != OwnDomain;
  if (SilentFor >= (Remote ? Settings.RemoteDeadAfter : Settings.DeadAfter))
    return State::Dead;
  if (SilentFor >=
      (Remote ? Settings.RemoteSuspectAfter : Settings.SuspectAfter))
    return State::Suspect;
  return State::Alive;
}

const Membership::Record *Membership::find(const Key &MemberKey) const {
  auto Found = Records.find(MemberKey);
  return Found == Records.end() ? nullptr : &Found->second;
}

void Membership::forEachNotDead(
    core::TimePoint Now,
    const std::function<void(const Record &)> &Visit) const {
  for (const auto &[MemberKey, Known] : Records)
    if (state(Known, Now) != State::Dead)
      Visit(Known);
}

std::uint64_t stateDigest(const Member &M) {
  std::string Text = M.Host.str() + '\n' + M.PeerAddress + '\n' +
                     std::to_string(M.Incarnation) + (M.Draining ? 'd' : 'a');
  for (const Holding &H : M.Holdings) {
    Text +=
        '\n' + H.Entry.str() + (H.Serving ? 's' : 'n') + (H.Warm ? 'w' : 'c');
    Text += H.Version.bytes();
    Text += H.FailedVersion.bytes();
  }
  // Serves as a plain hash of both strings; nothing is ranked by it.
  return core::rendezvousWeight(M.Role == MemberRole::Entry ? "entry" : "agent",
                                Text);
}

std::uint64_t viewDigest(const std::map<Membership::Key, std::uint64_t> &View) {
  std::uint64_t Sum = 0;
  for (const auto &[MemberKey, Digest] : View)
    Sum += Digest;
  return Sum;
}

std::uint32_t hostHash(const core::HostId &Host) {
  // Serves as a plain hash; nothing is ranked by it.
  return static_cast<std::uint32_t>(core::rendezvousWeight("host", Host.str()));
}

} // namespace rosemarylane::routing
