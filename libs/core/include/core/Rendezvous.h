#ifndef ROSEMARYLANE_CORE_RENDEZVOUS_H
#define ROSEMARYLANE_CORE_RENDEZVOUS_H

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace rosemarylane::core {

/// Computes the rendezvous hash (highest random weight) of \p Member for
/// \p Key.
/// @return the weight; the member with the highest weight ranks first.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member);

/// Ranks \p Members for \p Key by rendezvous hashing.
///
/// When a member leaves, only the keys assigned to it move. All processes that
/// see the same members compute the same ranking.
/// @param Name returns the name of a member as `std::string_view`.
/// @return \p Members, highest weight first; ties are broken by name.
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
