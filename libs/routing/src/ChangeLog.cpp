#include "routing/ChangeLog.h"

#include <algorithm>

namespace rosemarylane::routing {

void ChangeLog::update(const std::map<Key, std::uint64_t> &Present) {
  std::uint64_t Next = Current + 1;
  for (const auto &[MemberKey, Digest] : Present) {
    MemberRecord &Known = Records[MemberKey];
    if (Known.ChangedInVersion > 0 && Known.Present && Known.Digest == Digest)
      continue;
    Known = {Digest, true, Next};
    Current = Next;
  }
  for (auto &[MemberKey, Known] : Records) {
    if (!Known.Present || Present.contains(MemberKey))
      continue;
    Known.Present = false;
    Known.ChangedInVersion = Next;
    Current = Next;
  }
  pruneTombstones();
}

void ChangeLog::pruneTombstones() {
  std::vector<std::map<Key, MemberRecord>::iterator> Removed;
  for (auto It = Records.begin(); It != Records.end(); ++It)
    if (!It->second.Present)
      Removed.push_back(It);
  if (Removed.size() <= MaxTombstones)
    return;
  std::sort(Removed.begin(), Removed.end(), [](const auto &A, const auto &B) {
    return A->second.ChangedInVersion > B->second.ChangedInVersion;
  });
  for (std::size_t I = MaxTombstones; I < Removed.size(); ++I) {
    PrunedThrough =
        std::max(PrunedThrough, Removed[I]->second.ChangedInVersion);
    Records.erase(Removed[I]);
  }
}

ChangeLog::Changes ChangeLog::since(std::uint64_t Version) const {
  Changes Result;
  Result.All = Version == 0 || Version < PrunedThrough || Version > Current;
  for (const auto &[MemberKey, Known] : Records) {
    if (!Result.All && Known.ChangedInVersion <= Version)
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
