#include "gateway/Readiness.h"

#include "telemetry/Log.h"

#include <chrono>
#include <optional>

namespace rosemarylane {

using std::chrono::milliseconds;

namespace {

/// The gateway reports not ready once the proof that its copy of the
/// operators' section is current is older than this fraction of the key
/// revocation time. `StoreFollower::operatorsProofAge` returns the age of that
/// proof.
constexpr double MaxReadyProofAgeFraction = 0.7;
/// Age of the registry, as a multiple of the time within which a target that
/// leaves must get no more requests, from which on the gateway is not ready.
constexpr int MaxRegistryAgeInDrainDelays = 2;

std::int64_t countOf(std::optional<milliseconds> Age) {
  return Age ? Age->count() : -1;
}

} // namespace

Readiness::Obstacle Readiness::obstacle() const {
  if (Context.Draining)
    return Obstacle::Draining;
  if (!Context.Config)
    return Obstacle::NoConfiguration;
  if (isConfigurationOld())
    return Obstacle::OldConfiguration;
  return isRegistryUnread() ? Obstacle::UnreadRegistry : Obstacle::None;
}

bool Readiness::isConfigurationOld() const {
  const ServiceObjectives &Objectives = Context.Settings.Objectives;
  if (!Context.Config->requiresApiKeys() || !Objectives.FailClosed)
    return false;
  auto Age = Context.Follower->operatorsProofAge();
  double Limit = static_cast<double>(Objectives.MaxKeyRevocationDelay.count()) *
                 MaxReadyProofAgeFraction;
  return !Age || static_cast<double>(Age->count()) >= Limit;
}

bool Readiness::isRegistryUnread() const {
  milliseconds Delay = Context.Settings.Objectives.MaxDrainDelay;
  // While the store is away, all gateways go by what they have.
  auto ProofAge = Context.Follower->operatorsProofAge();
  if (!ProofAge || *ProofAge >= Delay)
    return false;
  auto Age = Context.Follower->registryStaleness();
  return Age && *Age >= MaxRegistryAgeInDrainDelays * Delay;
}

const char *Readiness::nameOf(Obstacle What) {
  switch (What) {
  case Obstacle::None:
    return "none";
  case Obstacle::Draining:
    return "draining";
  case Obstacle::NoConfiguration:
    return "no configuration";
  case Obstacle::OldConfiguration:
    return "configuration not confirmed";
  case Obstacle::UnreadRegistry:
    return "registry not read";
  }
  return "";
}

void Readiness::logChange() {
  Obstacle Now = obstacle();
  if (Now == Logged)
    return;
  Logged = Now;
  telemetry::log(
      telemetry::Level::Info, Now == Obstacle::None ? "ready" : "not ready",
      {{"reason", std::string(nameOf(Now))},
       {"proof_age_ms", countOf(Context.Follower->operatorsProofAge())},
       {"registry_age_ms", countOf(Context.Follower->registryStaleness())}});
}

} // namespace rosemarylane
