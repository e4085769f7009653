#ifndef ROSEMARYLANE_ROUTING_CHANGE_LOG_H
#define ROSEMARYLANE_ROUTING_CHANGE_LOG_H

#include "routing/Membership.h"

#include <cstdint>
#include <map>
#include <vector>

namespace rosemarylane::routing {

/// Which members changed since a version of a view, so that others are told
/// only what they do not know.
///
/// Versions mean something only to the process that counts them, in one
/// incarnation. A value type without a clock.
class ChangeLog {
public:
  using Key = Membership::Key;

  struct Changes {
    /// The asker's version is too old or none: it must take the whole view.
    bool All = false;
    std::vector<Key> Changed;
    std::vector<Key> Gone;
  };

  /// @param Remembered members that have gone and are remembered at most.
  explicit ChangeLog(std::size_t Remembered = 256) : Remembered(Remembered) {}

  /// Takes the view as it is now: each present member with the digest of what
  /// matters of it.
  void update(const std::map<Key, std::uint64_t> &Present);

  /// @return what changed after \p Version; everything for version 0.
  Changes since(std::uint64_t Version) const;

  std::uint64_t version() const { return Current; }

  /// @return the members that are present.
  std::vector<Key> present() const;

private:
  struct Entry {
    std::uint64_t Digest = 0;
    bool Present = true;
    std::uint64_t ChangedAt = 0;
  };
  void forgetGone();

  std::size_t Remembered;
  std::map<Key, Entry> Entries;
  std::uint64_t Current = 0;
  /// Changes up to this version may have been forgotten.
  std::uint64_t Forgotten = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_CHANGE_LOG_H
