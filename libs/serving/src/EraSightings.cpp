#include "serving/EraSightings.h"

#include <algorithm>

namespace rosemarylane::serving {

void EraSightings::record(std::uint64_t Era, core::BootTime SeenAt,
                          std::uint64_t InUse) {
  auto [Known, New] = FirstSeen.try_emplace(Era, SeenAt);
  Known->second = std::min(Known->second, SeenAt);
  if (FirstSeen.size() <= MaxEras)
    return;
  FirstSeen.erase(
      std::find_if(FirstSeen.begin(), FirstSeen.end(), [&](const auto &Entry) {
        return Entry.first != InUse && Entry.first != Era;
      }));
}

std::optional<core::BootTime> EraSightings::firstSeen(std::uint64_t Era) const {
  auto Known = FirstSeen.find(Era);
  if (Known == FirstSeen.end())
    return std::nullopt;
  return Known->second;
}

std::optional<std::chrono::milliseconds>
EraSightings::age(std::uint64_t Era, core::BootTime Now) const {
  auto Seen = firstSeen(Era);
  if (!Seen)
    return std::nullopt;
  return std::chrono::floor<std::chrono::milliseconds>(Now - *Seen);
}

bool EraSightings::isRewritten(std::uint64_t Era, core::BootTime SentAt) const {
  if (Era == 0)
    return true;
  auto Seen = firstSeen(Era);
  return Seen && SentAt >= *Seen + RewriteTime;
}

} // namespace rosemarylane::serving
