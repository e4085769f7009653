#include "agent/ChunkTransfers.h"

#include "telemetry/Log.h"

namespace rosemarylane {

namespace {

constexpr std::size_t HashingRing = 256;
/// A reader's queue may take the time of a whole copy.
constexpr std::chrono::minutes ForgetAfter{10};

ChunkTransfers::Status statusOf(wire::ChunkReply::Status Status) {
  switch (Status) {
  case wire::ChunkReply::STATUS_BUSY:
    return ChunkTransfers::Status::Busy;
  case wire::ChunkReply::STATUS_NOT_HELD:
    return ChunkTransfers::Status::NotHeld;
  case wire::ChunkReply::STATUS_QUEUED:
    return ChunkTransfers::Status::Queued;
  default:
    return ChunkTransfers::Status::Failed;
  }
}

} // namespace

ChunkTransfers::ChunkTransfers(ProcessContext &Context,
                               const MessageSender &Send,
                               WeightMetrics &Metrics)
    : Context(Context), Send(Send), Metrics(Metrics),
      Alive(std::make_shared<bool>(true)),
      Hashing(runtime::Duty::start(
          "hashing", HashingRing, [](const std::string &What) {
            telemetry::log(telemetry::Level::Error, "hashing failed",
                           {{"error", What}});
          })) {}

ChunkTransfers::~ChunkTransfers() { Hashing->stop(); }

void ChunkTransfers::ask(const Asked &What, Hook OnDone) {
  std::uint64_t Id = NextId++;
  Requests[Id] = {What, std::move(OnDone), std::chrono::steady_clock::now()};
  if (What.From == Distance::Origin) {
    askOrigin(Id, What);
    return;
  }
  wire::Envelope Message;
  wire::ChunkRequest &Body = *Message.mutable_chunk_request();
  Body.set_id(Id);
  Body.set_version(std::string(What.Version.bytes()));
  if (What.Id != What.Version)
    Body.set_chunk(std::string(What.Id.bytes()));
  Body.set_wait(What.Wait);
  Send.send(wire::Peer::at(What.Address), std::move(Message));
}

void ChunkTransfers::askOrigin(std::uint64_t Id, const Asked &What) {
  // The origin's hooks run on the control duty.
  auto OnDone = [this, Id, Guard = std::weak_ptr<bool>(Alive)](
                    core::Result<std::string, store::StoreError> Answer) {
    if (!Guard.lock())
      return;
    if (Answer)
      check(Id, std::move(*Answer));
    else
      end(Id, Status::Failed, {});
  };
  if (What.Id == What.Version)
    Context.Origin->fetchManifest(What.Version, OnDone);
  else
    Context.Origin->fetchChunk(What.Id, OnDone);
}

void ChunkTransfers::receive(const wire::ChunkReply &Reply) {
  if (Reply.status() == wire::ChunkReply::STATUS_DATA)
    check(Reply.id(), Reply.data());
  else
    end(Reply.id(), statusOf(Reply.status()), {});
}

void ChunkTransfers::check(std::uint64_t Id, std::string Data) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  auto Bytes = std::make_shared<std::string>(std::move(Data));
  Hashing->postAlways([this, Id, Expected = Found->second.What.Id, Bytes,
                       Guard = std::weak_ptr<bool>(Alive)] {
    bool Sound = core::Digest::of(*Bytes) == Expected;
    Context.Control->postAlways([this, Id, Sound, Bytes, Guard] {
      if (Guard.lock())
        checked(Id, Sound, std::move(*Bytes));
    });
  });
}

void ChunkTransfers::checked(std::uint64_t Id, bool Sound, std::string Data) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  Metrics.downloaded(Found->second.What.From, Data.size());
  if (Sound) {
    end(Id, Status::Data, std::move(Data));
    return;
  }
  Metrics.corrupt();
  const Asked &What = Found->second.What;
  telemetry::log(telemetry::Level::Warning, "corrupt chunk dropped",
                 {{"version", What.Version.hex()},
                  {"chunk", What.Id.hex()},
                  {"from", What.Address.empty() ? "origin" : What.Address}});
  end(Id, Status::Failed, {});
}

void ChunkTransfers::end(std::uint64_t Id, Status How, std::string Data) {
  auto Found = Requests.find(Id);
  if (Found == Requests.end())
    return;
  Hook OnDone = Found->second.OnDone;
  if (How != Status::Queued)
    Requests.erase(Found);
  OnDone(How, std::move(Data));
}

void ChunkTransfers::expire(core::TimePoint Now) {
  std::erase_if(Requests, [&](const auto &Item) {
    return Now - Item.second.SentAt > ForgetAfter;
  });
}

} // namespace rosemarylane
