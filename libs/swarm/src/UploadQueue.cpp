#include "swarm/UploadQueue.h"

#include <algorithm>

namespace rosemarylane::swarm {

namespace {

/// Replaces an older request from the same peer for the same chunk, which has
/// timed out at the peer.
/// @return whether there was one.
bool replaceDuplicate(auto &Requests, const Upload &Newer) {
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
  VersionUploads &Uploaded = UploadsByVersion[Request.Version];
  if (Now - Uploaded.LastOffer > Settings.UploadRecordTimeout)
    Uploaded = {};
  Uploaded.LastOffer = Now;
  double Limit = Settings.MaxCopies * static_cast<double>(VersionBytes);
  bool OverLimit =
      static_cast<double>(Uploaded.Bytes + Request.Bytes) > Limit &&
      !Request.FromReader && Uploaded.TimesSent.contains(Request.Chunk);
  if (OverLimit && Now - Uploaded.LastAccepted < Settings.OverLimitInterval)
    return false;
  Uploaded.LastAccepted = Now;
  return true;
}

UploadAnswer UploadQueue::offer(const Upload &Request, bool Held, bool Wait,
                                std::uint64_t VersionBytes,
                                core::TimePoint Now) {
  if (!Held) {
    if (!Wait || AwaitingCount >= Settings.MaxQueuedReaderRequests)
      return UploadAnswer::NotHeld;
    std::vector<Upload> &List = AwaitingChunk[Request.Chunk];
    if (!replaceDuplicate(List, Request)) {
      List.push_back(Request);
      ++AwaitingCount;
    }
    return UploadAnswer::Queued;
  }
  std::deque<Upload> &Queue =
      Request.FromReader ? ReaderRequests : PeerRequests;
  if (replaceDuplicate(Queue, Request))
    return Request.FromReader ? UploadAnswer::Queued : UploadAnswer::Accepted;
  std::size_t Limit = Request.FromReader ? Settings.MaxQueuedReaderRequests
                                         : Settings.MaxQueuedPeerRequests;
  if (Queue.size() >= Limit || !admit(Request, VersionBytes, Now))
    return UploadAnswer::Busy;
  Queue.push_back(Request);
  return Request.FromReader ? UploadAnswer::Queued : UploadAnswer::Accepted;
}

void UploadQueue::stored(const core::Digest &Chunk) {
  auto Found = AwaitingChunk.find(Chunk);
  if (Found == AwaitingChunk.end())
    return;
  AwaitingCount -= Found->second.size();
  for (Upload &Request : Found->second)
    ReaderRequests.push_back(std::move(Request));
  AwaitingChunk.erase(Found);
}

std::optional<Upload> UploadQueue::next() {
  if (auto Request = take(ReaderRequests))
    return Request;
  return take(PeerRequests);
}

std::optional<Upload> UploadQueue::take(std::deque<Upload> &From) {
  if (From.empty())
    return std::nullopt;
  // `min_element` picks the first of equal elements, so requests for one
  // version are served in the order of their arrival.
  auto Best = std::min_element(
      From.begin(), From.end(), [&](const Upload &A, const Upload &B) {
        return Share.startTag(A.Version) < Share.startTag(B.Version);
      });
  Upload Request = std::move(*Best);
  From.erase(Best);
  Share.charge(Request.Version, Request.Class, Request.Bytes);
  VersionUploads &Uploaded = UploadsByVersion[Request.Version];
  Uploaded.Bytes += Request.Bytes;
  ++Uploaded.TimesSent[Request.Chunk];
  return Request;
}

void UploadQueue::forget(const core::Digest &Version) {
  auto IsOfVersion = [&](const Upload &U) { return U.Version == Version; };
  std::erase_if(ReaderRequests, IsOfVersion);
  std::erase_if(PeerRequests, IsOfVersion);
  for (auto &[Chunk, Requests] : AwaitingChunk)
    AwaitingCount -= std::erase_if(Requests, IsOfVersion);
  UploadsByVersion.erase(Version);
  Share.forget(Version);
}

} // namespace rosemarylane::swarm
