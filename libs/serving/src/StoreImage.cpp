#include "serving/StoreImage.h"

#include "core/Rendezvous.h"

namespace rosemarylane::serving {

namespace {

std::uint64_t digestOf(const StoreSection::Items &Items) {
  std::uint64_t Digest = 1;
  for (const auto &[Key, Item] : Items)
    Digest = Digest * 31 + core::rendezvousWeight(Key, Item.Value);
  return Digest;
}

} // namespace

bool StoreSection::adopt(Items Read, std::int64_t At, core::BootTime Sent) {
  if (known() && At < ReadAt)
    return false;
  bool Changed = !known() || Read != Held;
  if (Changed) {
    Held = std::move(Read);
    ItemsDigest = digestOf(Held);
  }
  ReadAt = At;
  if (!Proof || Sent > *Proof)
    Proof = Sent;
  return Changed;
}

void StoreSection::confirm(std::int64_t At, core::BootTime Sent) {
  ReadAt = std::max(ReadAt, At);
  if (!Proof || Sent > *Proof)
    Proof = Sent;
}

StoreSection::Compared StoreSection::compare(const Summary &Theirs,
                                             core::BootTime Asked) {
  if (Theirs.At == 0)
    return Compared::MineNewer;
  if (known() && Theirs.Digest == ItemsDigest) {
    if (Theirs.ProofAge)
      confirm(Theirs.At, Asked - *Theirs.ProofAge);
    return Compared::Same;
  }
  return Theirs.At > ReadAt ? Compared::TheirsNewer : Compared::MineNewer;
}

StoreSection::Summary StoreSection::summary(core::BootTime Now) const {
  return {ReadAt, ItemsDigest, proofAge(Now)};
}

std::optional<std::chrono::milliseconds>
StoreSection::proofAge(core::BootTime Now) const {
  if (!Proof)
    return std::nullopt;
  // Rounded up: an age is never understated.
  return std::chrono::ceil<std::chrono::milliseconds>(Now - *Proof);
}

} // namespace rosemarylane::serving
