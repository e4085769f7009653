#include "swarm/BaselinePlanners.h"

#include <algorithm>
#include <map>

namespace rosemarylane::swarm {

namespace {

using core::TimePoint;

constexpr std::size_t TreeFanout = 2;
/// Maximum number of requests in progress to a parent; enough of them to keep
/// its link busy.
constexpr std::size_t MaxTreeRequests = 16;

/// Requests all chunks in order from a single source.
class SingleSourcePlanner : public SwarmPlanner {
public:
  SingleSourcePlanner(ChunkSet Held, PlannerSettings Settings)
      : Settings(Settings), HeldChunks(std::move(Held)),
        PendingChunks(HeldChunks.size()) {}

  void setMembers(std::vector<EngineHost> Hosts, std::uint32_t,
                  TimePoint) override {
    Members = std::move(Hosts);
  }
  const std::vector<core::HostId> &view() const override { return EmptyView; }
  const std::vector<core::HostId> &remoteView() const override {
    return EmptyView;
  }
  void peerHolds(const core::HostId &, ChunkSet, TimePoint) override {}
  void markDemanded(std::size_t, ChunkFetch::Source) override {}
  double regionShare() const override {
    return Members.empty() ? 0 : 1.0 / static_cast<double>(Members.size());
  }
  bool pullLimitReached() const override { return false; }
  void markStored(std::size_t Chunk, TimePoint) override {
    HeldChunks.insert(Chunk);
  }
  void markLost(std::size_t Chunk) override { HeldChunks.erase(Chunk); }
  const ChunkSet &held() const override { return HeldChunks; }

  std::vector<ChunkFetch> plan(TimePoint Now,
                               std::size_t RemoteReads) override {
    std::vector<ChunkFetch> Result;
    if (Members.empty() || Now < RetryAt)
      return Result;
    expireFetches(Now);
    core::HostId From = sourceHost();
    std::size_t MaxRequests =
        From.empty() ? Settings.MaxRemoteReads : MaxTreeRequests;
    for (std::size_t C = 0;
         C < HeldChunks.size() && PendingFetches.size() < MaxRequests &&
         Result.size() < RemoteReads;
         ++C) {
      if (HeldChunks.contains(C) || PendingChunks.contains(C))
        continue;
      PendingChunks.insert(C);
      PendingFetches[NextId] = {C, Now + Settings.RemoteTimeout};
      // Addressed as a region's reader, the parent keeps the request until it
      // holds the chunk.
      Result.push_back({NextId++, C,
                        From.empty() ? ChunkFetch::Source::Origin
                                     : ChunkFetch::Source::RegionReader,
                        From});
    }
    return Result;
  }

  bool reportOutcome(std::uint64_t Id, FetchOutcome Outcome,
                     TimePoint Now) override {
    auto Found = PendingFetches.find(Id);
    if (Found == PendingFetches.end())
      return false;
    if (Outcome == FetchOutcome::Queued)
      return true;
    std::size_t Chunk = Found->second.Chunk;
    PendingChunks.erase(Chunk);
    PendingFetches.erase(Found);
    if (Outcome == FetchOutcome::Stored)
      HeldChunks.insert(Chunk);
    else
      RetryAt = Now + Settings.PollDelay;
    return true;
  }

protected:
  /// @return the host to ask; empty for the origin.
  virtual core::HostId sourceHost() const = 0;

  std::vector<EngineHost> Members;

private:
  struct PendingFetch {
    std::size_t Chunk;
    TimePoint Deadline;
  };

  void expireFetches(TimePoint Now) {
    std::erase_if(PendingFetches, [&](const auto &Item) {
      if (Item.second.Deadline > Now)
        return false;
      PendingChunks.erase(Item.second.Chunk);
      return true;
    });
  }

  const PlannerSettings Settings;
  const std::vector<core::HostId> EmptyView;
  ChunkSet HeldChunks;
  ChunkSet PendingChunks;
  std::map<std::uint64_t, PendingFetch> PendingFetches;
  std::uint64_t NextId = 1;
  TimePoint RetryAt{};
};

/// Reads every chunk from the origin.
class OriginPlanner final : public SingleSourcePlanner {
  using SingleSourcePlanner::SingleSourcePlanner;

  core::HostId sourceHost() const override { return {}; }
};

/// Reads every chunk from the parent in a tree over all hosts sorted by id.
class TreePlanner final : public SingleSourcePlanner {
public:
  TreePlanner(core::HostId Self, ChunkSet Held, PlannerSettings Settings)
      : SingleSourcePlanner(std::move(Held), Settings), Self(std::move(Self)) {}

private:
  core::HostId sourceHost() const override {
    std::vector<core::HostId> Hosts;
    for (const EngineHost &Member : Members)
      Hosts.push_back(Member.Host);
    std::sort(Hosts.begin(), Hosts.end());
    auto Position = static_cast<std::size_t>(
        std::find(Hosts.begin(), Hosts.end(), Self) - Hosts.begin());
    return Position == 0 ? core::HostId() : Hosts[(Position - 1) / TreeFanout];
  }

  core::HostId Self;
};

} // namespace

std::unique_ptr<SwarmPlanner> createOriginPlanner(ChunkSet Held,
                                                  PlannerSettings Settings) {
  return std::make_unique<OriginPlanner>(std::move(Held), Settings);
}

std::unique_ptr<SwarmPlanner>
createTreePlanner(core::HostId Self, ChunkSet Held, PlannerSettings Settings) {
  return std::make_unique<TreePlanner>(std::move(Self), std::move(Held),
                                       Settings);
}

} // namespace rosemarylane::swarm
