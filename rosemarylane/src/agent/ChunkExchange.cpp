#include "agent/ChunkExchange.h"

#include "core/Rendezvous.h"
#include "core/Time.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds StepInterval{50};
constexpr std::chrono::milliseconds RequestTimeout{3000};
constexpr std::chrono::milliseconds RetryDelay{100};
constexpr std::size_t RequestsAtOnce = 4;
constexpr std::size_t UploadsAtOnce = 4;
/// Peers asked in vain before the origin is asked instead.
constexpr std::size_t PeersBeforeOrigin = 3;

core::TimePoint now() { return std::chrono::steady_clock::now(); }

class SimpleChunkExchange final : public ChunkExchange {
public:
  SimpleChunkExchange(ProcessContext &Context, const MessageSender &Send,
                      ChunkStore &Store, Hooks To)
      : Context(Context), Send(Send), Store(Store), To(std::move(To)),
        Alive(std::make_shared<bool>(true)) {
    Timer = Context.Timers->every(StepInterval, *Context.Control,
                                  guarded([this] { step(); }));
  }

  void setWanted(std::vector<Wanted> Versions) override {
    std::map<core::Digest, Fetch> Next;
    for (Wanted &Want : Versions) {
      Fetch &Entry = Next[Want.Version];
      if (auto Old = Fetches.find(Want.Version); Old != Fetches.end())
        Entry = std::move(Old->second);
      Entry.Want = std::move(Want);
    }
    Fetches = std::move(Next);
    std::erase_if(Requests, [&](const auto &Item) {
      return !Fetches.contains(Item.second.Version);
    });
    step();
  }

  const swarm::Manifest *manifest(const core::Digest &Version) const override {
    auto Found = Fetches.find(Version);
    if (Found == Fetches.end() || !Found->second.Manifest)
      return nullptr;
    return &*Found->second.Manifest;
  }

  void storeChanged() override { step(); }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    if (Message.has_chunk_request())
      serve(From, Message.chunk_request());
    else if (Message.has_chunk_reply())
      take(Message.chunk_reply());
  }

private:
  struct Fetch {
    Wanted Want;
    std::optional<swarm::Manifest> Manifest;
    bool ReadingManifest = false;
    /// Peers asked in vain for each chunk.
    std::unordered_map<core::Digest, std::size_t> Misses;
  };
  struct Request {
    core::Digest Version;
    core::Digest Chunk;
    bool FromOrigin = false;
    core::TimePoint Deadline;
  };

  template <typename F> std::function<void()> guarded(F Work) {
    return [Guard = std::weak_ptr<bool>(Alive), Work] {
      if (Guard.lock())
        Work();
    };
  }

  void step() {
    expire();
    for (auto &[Version, Entry] : Fetches) {
      if (!Entry.Manifest) {
        fetchManifest(Entry);
        continue;
      }
      for (const swarm::ManifestChunk &Chunk : Entry.Manifest->Chunks) {
        if (Requests.size() >= RequestsAtOnce)
          return;
        if (!Store.holds(Chunk.Id))
          request(Entry, Chunk.Id);
      }
    }
  }

  void expire() {
    std::vector<Request> Late;
    std::erase_if(Requests, [&](const auto &Item) {
      if (Item.second.Deadline > now())
        return false;
      Late.push_back(Item.second);
      return true;
    });
    for (const Request &R : Late)
      missed(R);
  }

  void missed(const Request &R) {
    if (auto Entry = Fetches.find(R.Version); Entry != Fetches.end())
      ++Entry->second.Misses[R.Chunk];
  }

  void fetchManifest(Fetch &Entry) {
    const core::Digest Version = Entry.Want.Version;
    if (!Store.holds(Version)) {
      request(Entry, Version);
      return;
    }
    if (Entry.ReadingManifest)
      return;
    Entry.ReadingManifest = true;
    Store.read(Version, [this, Version](ChunkStore::Bytes Data) {
      auto Found = Fetches.find(Version);
      if (Found == Fetches.end())
        return;
      Found->second.ReadingManifest = false;
      if (!Data)
        return;
      auto Parsed = swarm::Manifest::parseVersion(Version, *Data);
      if (!Parsed) {
        Store.remove(Version);
        return;
      }
      Found->second.Manifest = std::move(*Parsed);
      To.OnProgress(Version);
      step();
    });
  }

  void request(Fetch &Entry, const core::Digest &Chunk) {
    for (const auto &[Id, R] : Requests)
      if (R.Chunk == Chunk)
        return;
    auto Ranked =
        core::rendezvousRank(Chunk.hex(), Entry.Want.Peers,
                             [](const SharingPeer &P) -> std::string_view {
                               return P.Host.Host.str();
                             });
    std::size_t Misses = Entry.Misses[Chunk];
    bool First = Ranked.empty() || Ranked[0].Host.Host == Context.Config.Host;
    Request R{Entry.Want.Version, Chunk, First || Misses >= PeersBeforeOrigin,
              now() + RequestTimeout};
    std::uint64_t Id = NextRequest++;
    Requests.emplace(Id, R);
    if (R.FromOrigin) {
      askOrigin(Id, R);
      return;
    }
    const SharingPeer &Peer = Ranked[Misses % Ranked.size()];
    wire::Envelope Message;
    wire::ChunkRequest &Body = *Message.mutable_chunk_request();
    Body.set_id(Id);
    Body.set_version(std::string(R.Version.bytes()));
    if (R.Chunk != R.Version)
      Body.set_chunk(std::string(R.Chunk.bytes()));
    Send.send(wire::Peer::at(Peer.Address), std::move(Message));
  }

  void askOrigin(std::uint64_t Id, const Request &R) {
    auto OnDone = [this, Id, Guard = std::weak_ptr<bool>(Alive),
                   &Control = *Context.Control](
                      core::Result<std::string, platform::StoreError> Answer) {
      Control.postAlways([this, Id, Guard, Answer = std::move(Answer)] {
        if (Guard.lock())
          arrived(Id, Answer ? std::optional(*Answer) : std::nullopt);
      });
    };
    if (R.Chunk == R.Version)
      Context.Origin->fetchManifest(R.Version, OnDone);
    else
      Context.Origin->fetchChunk(R.Chunk, OnDone);
  }

  void take(const wire::ChunkReply &Reply) {
    if (Reply.status() == wire::ChunkReply::STATUS_DATA)
      arrived(Reply.id(), Reply.data());
    else
      arrived(Reply.id(), std::nullopt);
  }

  /// A request ended, with or without bytes.
  void arrived(std::uint64_t Id, std::optional<std::string> Data) {
    auto Found = Requests.find(Id);
    if (Found == Requests.end())
      return;
    Request R = Found->second;
    if (!Data || core::Digest::of(*Data) != R.Chunk) {
      if (Data)
        telemetry::log(telemetry::Level::Warning, "corrupt chunk dropped",
                       {{"chunk", R.Chunk.hex()}});
      // Asked again after a pause.
      Found->second.Deadline = now() + RetryDelay;
      return;
    }
    Found->second.Deadline = now() + RequestTimeout;
    Store.write(R.Chunk, std::move(*Data), [this, Id, R](auto Written) {
      Requests.erase(Id);
      if (Written)
        To.OnProgress(R.Version);
      else if (Written.error().What == EngineError::Kind::Full)
        To.OnFull(R.Version);
      step();
    });
  }

  void serve(const wire::Peer &From, const wire::ChunkRequest &Request) {
    auto Version = core::Digest::fromBytes(Request.version());
    auto Chunk = Request.chunk().empty()
                     ? Version
                     : core::Digest::fromBytes(Request.chunk());
    if (!Chunk || !Store.holds(*Chunk)) {
      reply(From, Request.id(), wire::ChunkReply::STATUS_NOT_HELD, {});
      return;
    }
    if (Uploads >= UploadsAtOnce) {
      reply(From, Request.id(), wire::ChunkReply::STATUS_BUSY, {});
      return;
    }
    ++Uploads;
    Store.read(*Chunk, [this, From, Id = Request.id()](ChunkStore::Bytes Data) {
      --Uploads;
      reply(From, Id,
            Data ? wire::ChunkReply::STATUS_DATA
                 : wire::ChunkReply::STATUS_NOT_HELD,
            Data);
    });
  }

  void reply(const wire::Peer &To, std::uint64_t Id,
             wire::ChunkReply::Status Status, ChunkStore::Bytes Data) {
    wire::Envelope Message;
    wire::ChunkReply &Body = *Message.mutable_chunk_reply();
    Body.set_id(Id);
    Body.set_status(Status);
    if (Data)
      Body.set_data(*Data);
    Send.send(To, std::move(Message));
  }

  ProcessContext &Context;
  const MessageSender &Send;
  ChunkStore &Store;
  Hooks To;
  std::map<core::Digest, Fetch> Fetches;
  std::map<std::uint64_t, Request> Requests;
  std::uint64_t NextRequest = 1;
  std::size_t Uploads = 0;
  std::shared_ptr<bool> Alive;
  runtime::TimerService::Subscription Timer;
};

} // namespace

std::unique_ptr<ChunkExchange> ChunkExchange::create(ProcessContext &Context,
                                                     const MessageSender &Send,
                                                     ChunkStore &Store,
                                                     Hooks To) {
  return std::make_unique<SimpleChunkExchange>(Context, Send, Store,
                                               std::move(To));
}

} // namespace rosemarylane
