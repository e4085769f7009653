#include "agent/ChunkUploads.h"

namespace rosemarylane {

namespace {

/// Chunks read back from the engine at the same time; bounds the memory.
constexpr std::size_t ReadsAtOnce = 4;

} // namespace

void ChunkUploads::offer(const Request &R, core::TimePoint Now) {
  Destinations[R.What.To] = {R.From, R.To};
  switch (Queue.offer(R.What, Store.holds(R.What.Chunk), R.Wait, R.VersionBytes,
                      Now)) {
  case swarm::UploadAnswer::Accepted:
    break;
  case swarm::UploadAnswer::Queued:
    refuse(R.From, R.What.RequestId, wire::ChunkReply::STATUS_QUEUED);
    break;
  case swarm::UploadAnswer::Busy:
    refuse(R.From, R.What.RequestId, wire::ChunkReply::STATUS_BUSY);
    break;
  case swarm::UploadAnswer::NotHeld:
    refuse(R.From, R.What.RequestId, wire::ChunkReply::STATUS_NOT_HELD);
    break;
  }
  pump(Now);
}

void ChunkUploads::sendNow(const wire::Peer &To, std::uint64_t RequestId,
                           const core::Digest &Id, Distance Away) {
  Store.read(Id, [this, To, RequestId, Away](const ChunkStore::Bytes &Data) {
    if (!Data) {
      refuse(To, RequestId, wire::ChunkReply::STATUS_NOT_HELD);
      return;
    }
    Uplink.take(Data->size(), std::chrono::steady_clock::now());
    Metrics.uploaded(Away, Data->size());
    reply(To, RequestId, wire::ChunkReply::STATUS_DATA, Data);
  });
}

void ChunkUploads::pump(core::TimePoint Now) {
  while (Reading < ReadsAtOnce && Uplink.ready(Now)) {
    auto Next = Queue.next();
    if (!Next)
      return;
    Destination To = Destinations[Next->To];
    // Taken before the chunk is read, so that no more is read than may go.
    Uplink.take(Next->Bytes, Now);
    ++Reading;
    Store.read(Next->Chunk,
               [this, To, Id = Next->RequestId](const ChunkStore::Bytes &Data) {
                 --Reading;
                 if (Data)
                   Metrics.uploaded(To.Away, Data->size());
                 reply(To.Peer, Id,
                       Data ? wire::ChunkReply::STATUS_DATA
                            : wire::ChunkReply::STATUS_NOT_HELD,
                       Data);
               });
  }
}

void ChunkUploads::refuse(const wire::Peer &To, std::uint64_t RequestId,
                          wire::ChunkReply::Status Status) {
  reply(To, RequestId, Status, nullptr);
}

void ChunkUploads::reply(const wire::Peer &To, std::uint64_t RequestId,
                         wire::ChunkReply::Status Status,
                         const ChunkStore::Bytes &Data) {
  wire::Envelope Message;
  wire::ChunkReply &Body = *Message.mutable_chunk_reply();
  Body.set_id(RequestId);
  Body.set_status(Status);
  if (Data) {
    Body.set_data(*Data);
    Sent += Data->size();
  }
  Send.send(To, std::move(Message));
}

} // namespace rosemarylane
