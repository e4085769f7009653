#include "swarm/ClassShare.h"

#include <algorithm>

namespace rosemarylane::swarm {

double ClassShare::weight(core::TrafficClass Class) {
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

double ClassShare::startTag(const core::Digest &Version) const {
  auto Found = FinishTags.find(Version);
  return Found == FinishTags.end() ? VirtualTime
                                   : std::max(VirtualTime, Found->second);
}

void ClassShare::charge(const core::Digest &Version, core::TrafficClass Class,
                        std::uint64_t Bytes) {
  double Start = startTag(Version);
  VirtualTime = Start;
  FinishTags[Version] = Start + static_cast<double>(Bytes) / weight(Class);
}

} // namespace rosemarylane::swarm
