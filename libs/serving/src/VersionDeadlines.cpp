#include "serving/VersionDeadlines.h"

#include <algorithm>

namespace rosemarylane::serving {

using core::BootTime;

std::vector<VersionDeadlines::VersionDeadline>
VersionDeadlines::recordVersion(const std::string &Model, std::uint64_t Version,
                                std::optional<BootTime> UnchangedAt,
                                std::optional<BootTime> NamedAfter,
                                BootTime Now) {
  std::vector<VersionDeadline> Result;
  Newest &Known = Models[Model];
  if (Version < Known.Version)
    return Result;
  bool New = Version > Known.Version;
  if (New) {
    bool MayHaveMissed = Version > Known.Version + 1 && Version > 1;
    Known = {Version, Now, !UnchangedAt.has_value(), BootTime()};
    if (MayHaveMissed)
      Result.push_back({Version - 1, deadline(UnchangedAt, Known)});
  }
  BootTime Deadline = deadline(NamedAfter, Known);
  if (New || Deadline > Known.Deadline)
    Result.push_back({Version, Deadline});
  Known.Deadline = std::max(Known.Deadline, Deadline);
  return Result;
}

BootTime VersionDeadlines::deadline(std::optional<BootTime> NamedAfter,
                                    const Newest &Known) const {
  if (!NamedAfter)
    return Known.LearntAt;
  BootTime Deadline = *NamedAfter + Delays.ActivationDelay;
  if (Known.JustStarted)
    return Deadline;
  bool WasPartitioned = Known.LearntAt - *NamedAfter > Delays.ReconnectGrace;
  return WasPartitioned
             ? std::max(Deadline, Known.LearntAt + Delays.ReconnectGrace)
             : Deadline;
}

} // namespace rosemarylane::serving
