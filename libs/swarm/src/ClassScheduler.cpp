#include "swarm/ClassScheduler.h"

#include <algorithm>

namespace rosemarylane::swarm {

double ClassScheduler::weight(core::TrafficClass Class) {
  switch (Class) {
  case core::TrafficClass::Interactive:
    return 4;
  case core::TrafficClass::Standard:
    return 2;
  case core::TrafficClass::Batch:
    return 1;
  }
  return 1;
}

double ClassScheduler::startTag(const core::Digest &Version) const {
  auto Found = Finish.find(Version);
  return Found == Finish.end() ? VirtualTime
                                   : std::max(VirtualTime, Found->second);
}

void ClassScheduler::charge(const core::Digest &Version,
                            core::TrafficClass Class, std::uint64_t Bytes) {
  double Start = startTag(Version);
  VirtualTime = Start;
  Finish[Version] = Start + static_cast<double>(Bytes) / weight(Class);
}

} // namespace rosemarylane::swarm
