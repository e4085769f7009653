#include "swarm/BaselinePlanners.h"

#include <algorithm>
#include <map>

namespace rosemarylane::swarm {

namespace {

using core::TimePoint;

constexpr std::size_t TreeFanout = 2;
/// Requests that a parent may owe, so that its link never waits for one.
constexpr std::size_t TreeRequestsAtOnce = 16;

/// Asks for all chunks in order from one source.
class SingleSourcePlanner : public SwarmPlanner {
public:
  SingleSourcePlanner(ChunkSet Held, PlannerSettings Settings)
      : Settings(Settings), Own(std::move(Held)), Pending(Own.size()) {}

  void setMembers(std::vector<EngineHost> Hosts, std::uint32_t,
                  TimePoint) override {
    Members = std::move(Hosts);
  }
  const std::vector<core::HostId> &view() const override { return NoView; }
  void peerHolds(const core::HostId &, ChunkSet, TimePoint) override {}
  void demanded(std::size_t, ChunkFetch::Source) override {}
  double regionPart() const override {
    return Members.empty() ? 0 : 1.0 / static_cast<double>(Members.size());
  }
  bool saturated() const override { return false; }
  void storedLate(std::size_t Chunk, TimePoint) override { Own.insert(Chunk); }
  void lost(std::size_t Chunk) override { Own.erase(Chunk); }
  const ChunkSet &held() const override { return Own; }

  std::vector<ChunkFetch> plan(TimePoint Now,
                               std::size_t RemoteReads) override {
    std::vector<ChunkFetch> Result;
    if (Members.empty() || Now < RetryAt)
      return Result;
    giveUpLate(Now);
    core::HostId From = source();
    std::size_t AtOnce =
        From.empty() ? Settings.RemoteReadsAtOnce : TreeRequestsAtOnce;
    for (std::size_t C = 0; C < Own.size() && Fetches.size() < AtOnce &&
                            Result.size() < RemoteReads;
         ++C) {
      if (Own.contains(C) || Pending.contains(C))
        continue;
      Pending.insert(C);
      Fetches[NextId] = {C, Now + Settings.RemoteTimeout};
      Result.push_back({NextId++, C,
                        From.empty() ? ChunkFetch::Source::Origin
                                     : ChunkFetch::Source::RegionReader,
                        From});
    }
    return Result;
  }

  bool finished(std::uint64_t Id, FetchOutcome Outcome,
                TimePoint Now) override {
    auto Found = Fetches.find(Id);
    if (Found == Fetches.end())
      return false;
    if (Outcome == FetchOutcome::Queued)
      return true;
    std::size_t Chunk = Found->second.Chunk;
    Pending.erase(Chunk);
    Fetches.erase(Found);
    if (Outcome == FetchOutcome::Stored)
      Own.insert(Chunk);
    else
      RetryAt = Now + Settings.PollDelay;
    return true;
  }

protected:
  /// @return the host to ask; empty for the origin.
  virtual core::HostId source() const = 0;

  std::vector<EngineHost> Members;

private:
  struct Progress {
    std::size_t Chunk;
    TimePoint Deadline;
  };

  void giveUpLate(TimePoint Now) {
    std::erase_if(Fetches, [&](const auto &Item) {
      if (Item.second.Deadline > Now)
        return false;
      Pending.erase(Item.second.Chunk);
      return true;
    });
  }

  const PlannerSettings Settings;
  const std::vector<core::HostId> NoView;
  ChunkSet Own;
  ChunkSet Pending;
  std::map<std::uint64_t, Progress> Fetches;
  std::uint64_t NextId = 1;
  TimePoint RetryAt{};
};

class OriginPlanner final : public SingleSourcePlanner {
  using SingleSourcePlanner::SingleSourcePlanner;

  core::HostId source() const override { return {}; }
};

class TreePlanner final : public SingleSourcePlanner {
public:
  TreePlanner(core::HostId Self, ChunkSet Held, PlannerSettings Settings)
      : SingleSourcePlanner(std::move(Held), Settings), Self(std::move(Self)) {}

private:
  core::HostId source() const override {
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
