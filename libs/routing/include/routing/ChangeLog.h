#ifndef ROSEMARYLANE_ROUTING_CHANGE_LOG_H
#define ROSEMARYLANE_ROUTING_CHANGE_LOG_H

#include "routing/Membership.h"

#include <cstdint>
#include <map>
#include <vector>

namespace rosemarylane::routing {

/// Records which members changed since each version of a view, so that peers
/// are sent only the differences.
///
/// Versions are local to one incarnation of the process that counts them.
/// Copyable, reads no clock, and not thread-safe.
class ChangeLog {
public:
  using Key = Membership::Key;

  struct Changes {
    /// Whether `Changed` is the whole view, by which the receiver must replace
    /// its own. True if the requested version is 0, if a removal after it was
    /// pruned, or if it is above the current version, as one from an earlier
    /// incarnation may be. A version from an earlier incarnation that is not
    /// above the current one is not recognized.
    bool All = false;
    std::vector<Key> Changed;
    std::vector<Key> Removed;
  };

  /// @param MaxTombstones number of removed members that are kept to report
  /// their removal.
  explicit ChangeLog(std::size_t MaxTombstones = 256)
      : MaxTombstones(MaxTombstones) {}

  /// Compares the current view with the last one and records the differences.
  /// @param Present the members of the current view, each with the digest of
  /// its published state.
  void update(const std::map<Key, std::uint64_t> &Present);

  /// @return the changes after \p Version, or the whole view, see
  /// `Changes::All`.
  Changes since(std::uint64_t Version) const;

  std::uint64_t version() const { return Current; }

  /// @return the members of the view passed to the last `update`.
  std::vector<Key> present() const;

private:
  struct MemberRecord {
    std::uint64_t Digest = 0;
    /// False for a tombstone, a member that is no longer in the view.
    bool Present = true;
    /// Version of the view in which the member last changed.
    std::uint64_t ChangedInVersion = 0;
  };
  void pruneTombstones();

  std::size_t MaxTombstones;
  std::map<Key, MemberRecord> Records;
  std::uint64_t Current = 0;
  /// Latest version in which a pruned removal was recorded; requests for
  /// earlier versions get the whole view.
  std::uint64_t PrunedThrough = 0;
};

} // namespace rosemarylane::routing

#endif // ROSEMARYLANE_ROUTING_CHANGE_LOG_H
