#include "routing/ChangeLog.h"

#include <algorithm>

namespace rosemarylane::routing {

void ChangeLog::update(const std::map<Key, std::uint64_t> &Present) {
  std::uint64_t Next = Current + 1;
  for (const auto &[MemberKey, Digest] : Present) {
    Entry &Known = Entries[MemberKey];
    if (Known.ChangedAt > 0 && Known.Present && Known.Digest == Digest)
      continue;
    Known = {Digest, true, Next};
    Current = Next;
  }
  for (auto &[MemberKey, Known] : Entries) {
    if (!Known.Present || Present.contains(MemberKey))
      continue;
    Known.Present = false;
    Known.ChangedAt = Next;
    Current = Next;
  }
  pruneTombstones();
}

void ChangeLog::pruneTombstones() {
  std::vector<std::map<Key, Entry>::iterator> Removed;
  for (auto It = Entries.begin(); It != Entries.end(); ++It)
    if (!It->second.Present)
      Removed.push_back(It);
  if (Removed.size() <= MaxTombstones)
    return;
  std::sort(Removed.begin(), Removed.end(), [](const auto &A, const auto &B) {
    return A->second.ChangedAt > B->second.ChangedAt;
  });
  for (std::size_t I = MaxTombstones; I < Removed.size(); ++I) {
    PrunedThrough = std::max(PrunedThrough, Removed[I]->second.ChangedAt);
    Entries.erase(Removed[I]);
  }
}

ChangeLog::Changes ChangeLog::since(std::uint64_t Version) const {
  Changes Result;
  Result.All = Version == 0 || Version < PrunedThrough || Version > Current;
  for (const auto &[MemberKey, Known] : Entries) {
    if (!Result.All && Known.ChangedAt <= Version)
      continue;
    if (Known.Present)
      Result.Changed.push_back(MemberKey);
    else if (!Result.All)
      Result.Removed.push_back(MemberKey);
  }
  return Result;
}

std::vector<ChangeLog::Key> ChangeLog::present() const {
  return since(0).Changed;
}

} // namespace rosemarylane::routing
