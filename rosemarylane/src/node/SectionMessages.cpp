#include "node/SectionMessages.h"

#include <chrono>

namespace rosemarylane {

using serving::StoreSection;

const char *pathOf(platform::Section Which) {
  return Which == platform::Section::Operators ? "/sections/operators"
                                               : "/sections/registry";
}

void toWire(const StoreSection::Summary &From, wire::SectionSummary &To) {
  To.set_at(From.At.Revision);
  To.set_era(From.At.Era);
  if (From.EraAge)
    To.set_era_age_ms(From.EraAge->count());
  To.set_digest(From.Digest);
  To.set_proof_age_ms(From.Staleness ? From.Staleness->count() : -1);
  To.set_knows_times(From.HasChangeTimes);
}

StoreSection::Summary fromWire(const wire::SectionSummary &From) {
  StoreSection::Summary To;
  To.At = {From.era(), From.at()};
  To.Digest = From.digest();
  To.HasChangeTimes = From.knows_times();
  if (From.has_era_age_ms() && From.era_age_ms() >= 0)
    To.EraAge = std::chrono::milliseconds(From.era_age_ms());
  if (From.proof_age_ms() >= 0)
    To.Staleness = std::chrono::milliseconds(From.proof_age_ms());
  return To;
}

} // namespace rosemarylane
