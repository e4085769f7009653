#ifndef ROSEMARYLANE_SERVING_PEER_QUERY_SCHEDULE_H
#define ROSEMARYLANE_SERVING_PEER_QUERY_SCHEDULE_H

#include "core/BootClock.h"
#include "serving/ReadSchedule.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace rosemarylane::serving {

/// Decides when a process asks peers for newer copies of the store's sections,
/// and for the members that they know.
///
/// A message makes its sender known, but only a reply lists the other members.
/// Which of them are live is learnt in two steps: each process queries the one
/// that reads the store for its failure domain, and these query each other.
/// So a process that needs no section still has to query now and then, or it
/// knows only those that query it.
/// Value type without a clock of its own; not thread-safe.
class PeerQuerySchedule {
public:
  static constexpr std::chrono::milliseconds Period{350};
  /// Age of the newest list of members from which another one is asked for.
  static constexpr std::chrono::milliseconds MaxMemberListAge{1000};

  void queryStarted(core::BootTime Now) { LastQuery = Now; }
  void membersQueried(core::BootTime Now) { LastMemberQuery = Now; }
  void membersReceived(core::BootTime Now) { LastMemberList = Now; }
  void domainsQueried(core::BootTime Now) { LastDomainsQuery = Now; }

  /// @return whether the process that its failure domain queries is to query
  /// those of the other domains. News of a process reaches the others by three
  /// queries at most: its own, this one, and that of who learns of it.
  bool domainsQueryDue(core::BootTime Now) const {
    return !LastDomainsQuery || Now - *LastDomainsQuery >= Period;
  }

  /// @return whether to ask some peer for the members that it knows.
  bool memberQueryDue(core::BootTime Now) const {
    if (LastMemberQuery && Now - *LastMemberQuery < Period)
      return false;
    return !LastMemberList || Now - *LastMemberList >= MaxMemberListAge;
  }

  /// @param Rank position of this process in `PeerTable::storeReaderOrder`.
  /// @param Staleness staleness of the least recently confirmed section; absent
  /// if a section has never been read.
  /// @return whether to query peers: periodically if another process reads the
  /// store, otherwise only if this process's own reads are overdue.
  bool queryDue(std::size_t Rank,
                std::optional<std::chrono::milliseconds> Staleness,
                core::BootTime Now) const {
    if (LastQuery && Now - *LastQuery < Period)
      return false;
    return Rank > 0 || !Staleness ||
           *Staleness >= ReadSchedule::TakeoverStaleness;
  }

private:
  std::optional<core::BootTime> LastQuery;
  std::optional<core::BootTime> LastMemberQuery;
  std::optional<core::BootTime> LastMemberList;
  std::optional<core::BootTime> LastDomainsQuery;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_PEER_QUERY_SCHEDULE_H
