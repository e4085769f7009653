#ifndef ROSEMARYLANE_AGENT_WEIGHT_METRICS_H
#define ROSEMARYLANE_AGENT_WEIGHT_METRICS_H

#include "swarm/Placement.h"

#include <array>
#include <cstdint>
#include <prometheus/counter.h>
#include <prometheus/registry.h>

namespace rosemarylane {

/// How far away the other end of a transfer is.
enum class Distance {
  /// In the same failure domain.
  Domain,
  /// In another failure domain of the same region.
  Region,
  /// In another region.
  Remote,
  Origin,
};

/// @return the distance between two hosts.
Distance distance(const swarm::EngineHost &A, const swarm::EngineHost &B);

/// Counters of the bytes of weights that this agent moves:
/// `rosemarylane_weight_download_bytes_total{source}`,
/// `rosemarylane_weight_upload_bytes_total{destination}`,
/// `rosemarylane_weight_duplicate_bytes_total` and
/// `rosemarylane_weight_corrupt_chunks_total`.
///
/// From any thread.
class WeightMetrics {
public:
  explicit WeightMetrics(prometheus::Registry &Registry);

  void downloaded(Distance From, std::uint64_t Bytes) {
    Downloads[static_cast<std::size_t>(From)]->Increment(
        static_cast<double>(Bytes));
  }
  void uploaded(Distance To, std::uint64_t Bytes) {
    Uploads[static_cast<std::size_t>(To)]->Increment(
        static_cast<double>(Bytes));
  }
  /// Bytes that came although the chunk was held already.
  void duplicate(std::uint64_t Bytes) {
    Duplicates.Increment(static_cast<double>(Bytes));
  }
  void corrupt() { Corrupt.Increment(); }

private:
  static constexpr std::size_t Distances = 4;

  std::array<prometheus::Counter *, Distances> Downloads{};
  std::array<prometheus::Counter *, Distances> Uploads{};
  prometheus::Counter &Duplicates;
  prometheus::Counter &Corrupt;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_AGENT_WEIGHT_METRICS_H
