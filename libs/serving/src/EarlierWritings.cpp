#include "serving/EarlierWritings.h"

#include "core/Rendezvous.h"

#include <algorithm>

namespace rosemarylane::serving {

void EarlierWritings::remember(const std::string &Key, const std::string &Value,
                               std::optional<core::BootTime> ChangedAfter,
                               core::BootTime HeldAt) {
  Writing Now{ChangedAfter, HeldAt};
  auto [Known, New] =
      Writings.try_emplace(core::rendezvousWeight(Key, Value), Now);
  if (!New) {
    Known->second.ChangedAfter =
        std::max(Known->second.ChangedAfter, ChangedAfter);
    Known->second.HeldAt = std::min(Known->second.HeldAt, HeldAt);
  }
  if (Writings.size() > MaxRemembered)
    Writings.erase(std::min_element(Writings.begin(), Writings.end(),
                                    [](const auto &A, const auto &B) {
                                      return A.second.HeldAt < B.second.HeldAt;
                                    }));
}

const EarlierWritings::Writing *
EarlierWritings::find(const std::string &Key, const std::string &Value) const {
  if (Writings.empty())
    return nullptr;
  auto Known = Writings.find(core::rendezvousWeight(Key, Value));
  return Known == Writings.end() ? nullptr : &Known->second;
}

bool EarlierWritings::contains(const std::string &Key,
                               const std::string &Value) const {
  return find(Key, Value) != nullptr;
}

std::optional<core::BootTime>
EarlierWritings::changedAfter(const std::string &Key,
                              const std::string &Value) const {
  const Writing *Known = find(Key, Value);
  return Known ? Known->ChangedAfter : std::nullopt;
}

std::optional<core::BootTime>
EarlierWritings::ofFirst(const std::string &Key, const std::string &Value,
                         std::optional<core::BootTime> ChangedAfter) const {
  const Writing *Known = find(Key, Value);
  bool IsLater = Known && ChangedAfter && *ChangedAfter >= Known->HeldAt;
  return IsLater ? std::nullopt : ChangedAfter;
}

} // namespace rosemarylane::serving
