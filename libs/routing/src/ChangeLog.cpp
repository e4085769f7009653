#include "routing/ChangeLog.h"

#include <algorithm>

namespace rosemarylane::routing {

void ChangeLog::update(const std::map<Key, std::uint64_t> &Present) {
  std::uint64_t Next = Current + 1;
  for (const auto &[Who, Digest] : Present) {
    Entry &Known = Entries[Who];
    if (Known.ChangedAt > 0 && Known.Present && Known.Digest == Digest)
      continue;
    Known = {Digest, true, Next};
    Current = Next;
  }
  for (auto &[Who, Known] : Entries) {
    if (!Known.Present || Present.contains(Who))
      continue;
    Known.Present = false;
    Known.ChangedAt = Next;
    Current = Next;
  }
  forgetGone();
}

void ChangeLog::forgetGone() {
  std::vector<std::map<Key, Entry>::iterator> Gone;
  for (auto It = Entries.begin(); It != Entries.end(); ++It)
    if (!It->second.Present)
      Gone.push_back(It);
  if (Gone.size() <= Remembered)
    return;
  std::sort(Gone.begin(), Gone.end(), [](const auto &A, const auto &B) {
    return A->second.ChangedAt > B->second.ChangedAt;
  });
  for (std::size_t I = Remembered; I < Gone.size(); ++I) {
    Forgotten = std::max(Forgotten, Gone[I]->second.ChangedAt);
    Entries.erase(Gone[I]);
  }
}

ChangeLog::Changes ChangeLog::since(std::uint64_t Version) const {
  Changes Result;
  Result.All = Version == 0 || Version < Forgotten || Version > Current;
  for (const auto &[Who, Known] : Entries) {
    if (!Result.All && Known.ChangedAt <= Version)
      continue;
    if (Known.Present)
      Result.Changed.push_back(Who);
    else if (!Result.All)
      Result.Gone.push_back(Who);
  }
  return Result;
}

std::vector<ChangeLog::Key> ChangeLog::present() const {
  return since(0).Changed;
}

} // namespace rosemarylane::routing
