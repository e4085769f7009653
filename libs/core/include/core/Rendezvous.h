#ifndef ROSEMARYLANE_CORE_RENDEZVOUS_H
#define ROSEMARYLANE_CORE_RENDEZVOUS_H

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace rosemarylane::core {

/// The weight of \p Member for \p Key in rendezvous hashing: the highest weight
/// comes first.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member);

/// Ranks \p Members for \p Key, highest weight first.
///
/// When a member leaves, only what it held moves; all processes that see the
/// same members agree.
/// @param Name gives the `std::string_view` name of a member.
template <typename Member, typename NameOf>
std::vector<Member> rendezvousRank(std::string_view Key,
                                   std::vector<Member> Members, NameOf Name) {
  struct Weighted {
    std::uint64_t Weight;
    Member Item;
  };
  std::vector<Weighted> Ranked;
  Ranked.reserve(Members.size());
  for (auto &Item : Members)
    Ranked.push_back({rendezvousWeight(Key, Name(Item)), std::move(Item)});
  std::sort(Ranked.begin(), Ranked.end(),
            [&](const Weighted &A, const Weighted &B) {
              if (A.Weight != B.Weight)
                return A.Weight > B.Weight;
              return Name(A.Item) < Name(B.Item);
            });
  std::vector<Member> Result;
  Result.reserve(Ranked.size());
  for (auto &Entry : Ranked)
    Result.push_back(std::move(Entry.Item));
  return Result;
}

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_RENDEZVOUS_H
