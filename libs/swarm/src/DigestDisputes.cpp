#include "swarm/DigestDisputes.h"

#include <utility>

namespace rosemarylane::swarm {

namespace {

/// Corrupt chunks differ from each other, so two equal ones are what the origin
/// has.
constexpr std::size_t EqualMismatchesToDispute = 2;

} // namespace

void DigestDisputes::recordMismatch(std::size_t Chunk,
                                    const core::Digest &Received,
                                    std::string Source) {
  Mismatch &Last = Mismatches[Chunk];
  if (Last.Received != Received)
    Last = {Received, 0, {}};
  ++Last.Times;
  Last.Source = std::move(Source);
}

std::optional<DigestDisputes::Dispute> DigestDisputes::first() const {
  for (const auto &[Chunk, Seen] : Mismatches)
    if (Seen.Times >= EqualMismatchesToDispute)
      return Dispute{Chunk, Seen.Source};
  return std::nullopt;
}

bool DigestDisputes::resolve(const std::vector<core::Digest> &Reading,
                             std::vector<core::Digest> &Digests) {
  bool Replaced = false;
  std::erase_if(Mismatches, [&](const auto &Entry) {
    const auto &[Chunk, Seen] = Entry;
    if (Seen.Times < EqualMismatchesToDispute)
      return false;
    bool Confirmed = Reading.size() == Digests.size() &&
                     Chunk < Digests.size() && Reading[Chunk] == Seen.Received;
    if (Confirmed)
      Digests[Chunk] = Seen.Received;
    Replaced |= Confirmed;
    return true;
  });
  return Replaced;
}

} // namespace rosemarylane::swarm
