#include "agent/WeightMetrics.h"

namespace rosemarylane {

namespace {

constexpr std::array<const char *, 4> DistanceNames{"domain", "region",
                                                    "remote", "origin"};

prometheus::Family<prometheus::Counter> &
family(prometheus::Registry &Registry, const char *Name, const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

} // namespace

Distance distance(const swarm::EngineHost &A, const swarm::EngineHost &B) {
  if (A.Region != B.Region)
    return Distance::Remote;
  return A.FailureDomain == B.FailureDomain ? Distance::Domain
                                            : Distance::Region;
}

WeightMetrics::WeightMetrics(prometheus::Registry &Registry)
    : Duplicates(family(Registry, "rosemarylane_weight_duplicate_bytes_total",
                        "Bytes of chunks that were held already")
                     .Add({})),
      Corrupt(family(Registry, "rosemarylane_weight_corrupt_chunks_total",
                     "Chunks and manifests with another digest than asked for")
                  .Add({})) {
  auto &Download = family(Registry, "rosemarylane_weight_download_bytes_total",
                          "Bytes of weights received, by where they came from");
  auto &Upload = family(Registry, "rosemarylane_weight_upload_bytes_total",
                        "Bytes of weights sent, by where they went to");
  for (std::size_t I = 0; I < Distances; ++I) {
    Downloads[I] = &Download.Add({{"source", DistanceNames[I]}});
    if (I != static_cast<std::size_t>(Distance::Origin))
      Uploads[I] = &Upload.Add({{"destination", DistanceNames[I]}});
  }
}

} // namespace rosemarylane
