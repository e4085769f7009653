#include "FetchesInProgress.h"

#include <utility>

namespace rosemarylane::swarm {

using core::TimePoint;

bool isRemote(ChunkFetch::Source From) {
  return From == ChunkFetch::Source::Origin ||
         From == ChunkFetch::Source::FleetReader ||
         From == ChunkFetch::Source::RemoteHolder;
}

ChunkFetch FetchesInProgress::begin(std::size_t Chunk, ChunkFetch::Source From,
                                    core::HostId Host, TimePoint Now,
                                    std::chrono::nanoseconds Timeout) {
  ChunkFetch Fetch{NextId++, Chunk, From, std::move(Host)};
  Pulls += From == ChunkFetch::Source::DomainPeer;
  RemoteReads += isRemote(From);
  OriginReads += From == ChunkFetch::Source::Origin;
  ++ByChunk[Chunk];
  Pending.insert(Chunk);
  Items[Fetch.Id] = {Fetch, Now, Now + Timeout};
  return Fetch;
}

FetchesInProgress::Item *FetchesInProgress::find(std::uint64_t Id) {
  auto Found = Items.find(Id);
  return Found == Items.end() ? nullptr : &Found->second;
}

void FetchesInProgress::end(std::uint64_t Id) {
  auto Found = Items.find(Id);
  const ChunkFetch &Fetch = Found->second.Fetch;
  Pulls -= Fetch.From == ChunkFetch::Source::DomainPeer;
  RemoteReads -= isRemote(Fetch.From);
  OriginReads -= Fetch.From == ChunkFetch::Source::Origin;
  if (--ByChunk[Fetch.Chunk] == 0)
    Pending.erase(Fetch.Chunk);
  Items.erase(Found);
}

std::vector<FetchesInProgress::Item> FetchesInProgress::matching(
    const std::function<bool(const Item &)> &Holds) const {
  std::vector<Item> Result;
  for (const auto &[Id, Candidate] : Items)
    if (Holds(Candidate))
      Result.push_back(Candidate);
  return Result;
}

std::optional<std::size_t> FetchesInProgress::firstChunk(
    const std::function<bool(const Item &)> &Holds) const {
  for (const auto &[Id, Candidate] : Items)
    if (Holds(Candidate))
      return Candidate.Fetch.Chunk;
  return std::nullopt;
}

} // namespace rosemarylane::swarm
