#include "swarm/UploadQueue.h"

#include <algorithm>

namespace rosemarylane::swarm {

namespace {

/// Replaces an older request of the same peer for the same chunk, which it has
/// given up.
bool replaceSame(auto &Requests, const Upload &Newer) {
  for (Upload &Older : Requests)
    if (Older.To == Newer.To && Older.Chunk == Newer.Chunk) {
      Older.RequestId = Newer.RequestId;
      return true;
    }
  return false;
}

} // namespace

bool UploadQueue::admit(const Upload &Request, std::uint64_t VersionBytes,
                        core::TimePoint Now) {
  VersionCount &Count = Counts[Request.Version];
  if (Now - Count.LastOffer > Settings.CountReset)
    Count = {};
  Count.LastOffer = Now;
  double Limit = Settings.CopiesCap * static_cast<double>(VersionBytes);
  bool Over = static_cast<double>(Count.Bytes + Request.Bytes) > Limit &&
              !Request.ForReader && Count.Given.contains(Request.Chunk);
  if (Over && Now - Count.LastAccepted < Settings.CapPause)
    return false;
  Count.LastAccepted = Now;
  return true;
}

UploadAnswer UploadQueue::offer(const Upload &Request, bool Held, bool Wait,
                                std::uint64_t VersionBytes,
                                core::TimePoint Now) {
  if (!Held) {
    if (!Wait || WaitingCount >= Settings.ReadersWaiting)
      return UploadAnswer::NotHeld;
    std::vector<Upload> &List = Waiting[Request.Chunk];
    if (!replaceSame(List, Request)) {
      List.push_back(Request);
      ++WaitingCount;
    }
    return UploadAnswer::Queued;
  }
  std::deque<Upload> &Lane = Request.ForReader ? Readers : Neighbours;
  if (replaceSame(Lane, Request))
    return Request.ForReader ? UploadAnswer::Queued : UploadAnswer::Accepted;
  std::size_t Limit =
      Request.ForReader ? Settings.ReadersWaiting : Settings.NeighboursWaiting;
  if (Lane.size() >= Limit || !admit(Request, VersionBytes, Now))
    return UploadAnswer::Busy;
  Lane.push_back(Request);
  return Request.ForReader ? UploadAnswer::Queued : UploadAnswer::Accepted;
}

void UploadQueue::stored(const core::Digest &Chunk) {
  auto Found = Waiting.find(Chunk);
  if (Found == Waiting.end())
    return;
  WaitingCount -= Found->second.size();
  for (Upload &Request : Found->second)
    Readers.push_back(std::move(Request));
  Waiting.erase(Found);
}

std::optional<Upload> UploadQueue::next() {
  if (auto Request = take(Readers))
    return Request;
  return take(Neighbours);
}

std::optional<Upload> UploadQueue::take(std::deque<Upload> &From) {
  if (From.empty())
    return std::nullopt;
  // The first of equals: requests for one version keep their order.
  auto Best = std::min_element(
      From.begin(), From.end(), [&](const Upload &A, const Upload &B) {
        return Share.turn(A.Version) < Share.turn(B.Version);
      });
  Upload Request = std::move(*Best);
  From.erase(Best);
  Share.charge(Request.Version, Request.Class, Request.Bytes);
  VersionCount &Count = Counts[Request.Version];
  Count.Bytes += Request.Bytes;
  ++Count.Given[Request.Chunk];
  return Request;
}

void UploadQueue::forget(const core::Digest &Version) {
  auto Of = [&](const Upload &U) { return U.Version == Version; };
  std::erase_if(Readers, Of);
  std::erase_if(Neighbours, Of);
  for (auto &[Chunk, Requests] : Waiting)
    WaitingCount -= std::erase_if(Requests, Of);
  Counts.erase(Version);
  Share.forget(Version);
}

} // namespace rosemarylane::swarm
