#include "agent/ChunkExchange.h"

#include "agent/ChunkTransfers.h"
#include "agent/ChunkUploads.h"
#include "agent/ManifestFetch.h"
#include "agent/SharedVersion.h"
#include "swarm/ClassShare.h"
#include "swarm/TokenBucket.h"

#include <algorithm>
#include <map>

namespace rosemarylane {

namespace {

using core::TimePoint;
using Status = ChunkTransfers::Status;

constexpr std::chrono::milliseconds BusyInterval{10};
constexpr std::chrono::milliseconds IdleInterval{100};
/// The least time between two messages that tell a peer what is held here.
constexpr std::chrono::milliseconds HoldingsInterval{100};
/// A peer follows holdings for this long after it asked for them.
constexpr std::chrono::seconds FollowFor{3};
constexpr std::chrono::seconds FollowRenewal{1};
/// Nothing is fetched into a full engine for this long, unless it changes.
constexpr std::chrono::seconds FullPause{2};
/// Bytes that an idle link may save up.
constexpr std::uint64_t LinkBurst = 256 << 10;
/// Of a link between regions, the part that weights may take.
constexpr double RegionLinkPart = 0.8;
/// Bytes by which a version may be ahead of its turn before it waits.
constexpr double TurnSlack = 4 << 20;
constexpr std::size_t Unpaced = 1 << 20;

TimePoint now() { return std::chrono::steady_clock::now(); }

swarm::FetchOutcome outcomeOf(Status How) {
  switch (How) {
  case Status::Data:
    return swarm::FetchOutcome::Stored;
  case Status::Busy:
    return swarm::FetchOutcome::Busy;
  case Status::NotHeld:
    return swarm::FetchOutcome::NotHeld;
  case Status::Queued:
    return swarm::FetchOutcome::Queued;
  case Status::Failed:
    break;
  }
  return swarm::FetchOutcome::Failed;
}

swarm::UploadSettings uploadSettings(const BandwidthSettings &Links) {
  constexpr int BurstsUntilCapPause = 20;
  constexpr std::chrono::milliseconds UnlimitedPause{10};
  swarm::UploadSettings Settings;
  Settings.OverLimitInterval = UnlimitedPause;
  if (Links.Uplink > 0)
    Settings.OverLimitInterval = std::chrono::nanoseconds(
        BurstsUntilCapPause * LinkBurst * std::nano::den / Links.Uplink);
  return Settings;
}

class SwarmChunkExchange final : public ChunkExchange {
public:
  SwarmChunkExchange(ProcessContext &Context, const MessageSender &Send,
                     ChunkStore &Store, Hooks To)
      : Context(Context), Send(Send), Store(Store),
        To(std::move(To)), Self{Context.Config.Host, Context.Config.Region,
                                Context.Config.FailureDomain},
        Uplink(Context.Config.Bandwidth.Uplink, LinkBurst),
        Downlink(Context.Config.Bandwidth.Downlink, LinkBurst),
        RegionLink(Context.Config.Bandwidth.RegionLink, 0),
        Metrics(*Context.Metrics), Transfers(Context, Send, Metrics),
        Uploads(Send, Store, Uplink, Metrics,
                uploadSettings(Context.Config.Bandwidth)),
        Manifests(Self, Store, Transfers,
                  {[this](const core::Digest &Version, swarm::Manifest Whole) {
                     manifestFound(Version, std::move(Whole));
                   },
                   [this](const core::Digest &Version) {
                     this->To.OnFull(Version);
                   }}),
        Alive(std::make_shared<bool>(true)) {
    IdleTimer =
        Context.Timers->every(IdleInterval, *Context.Control, stepTask());
  }

  void setWanted(std::vector<Wanted> Newer) override {
    std::map<core::Digest, std::unique_ptr<SharedVersion>> Next;
    for (Wanted &Want : Newer) {
      core::Digest Version = Want.Version;
      // Entries of the same version share it.
      if (Next.contains(Version))
        continue;
      auto Old = Versions.find(Version);
      if (Old == Versions.end()) {
        Next[Version] = std::make_unique<SharedVersion>(std::move(Want));
        continue;
      }
      bool Moved = Old->second->want().Peers != Want.Peers ||
                   Old->second->want().Replicas != Want.Replicas;
      Old->second->setWant(std::move(Want));
      if (Moved)
        Old->second->setMembers(now());
      Next[Version] = std::move(Old->second);
    }
    for (const auto &[Version, Old] : Versions)
      if (!Next.contains(Version)) {
        Uploads.forget(Version);
        Manifests.forget(Version);
        Share.forget(Version);
      }
    Versions = std::move(Next);
    step();
  }

  const swarm::Manifest *manifest(const core::Digest &Version) const override {
    auto Found = Versions.find(Version);
    return Found == Versions.end() ? nullptr : Found->second->manifest();
  }

  void storeChanged() override {
    for (auto &[Version, Shared] : Versions) {
      Shared->compare(Store, now());
      Shared->PausedUntil = {};
    }
    step();
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    if (Message.has_chunk_request())
      serve(From, Message.sender(), Message.chunk_request());
    else if (Message.has_chunk_reply())
      Transfers.receive(Message.chunk_reply());
    else if (Message.has_holdings_update())
      takeHoldings(Message.sender(), Message.holdings_update());
  }

private:
  SharedVersion *find(const core::Digest &Version) {
    auto Found = Versions.find(Version);
    return Found == Versions.end() ? nullptr : Found->second.get();
  }

  // ---- Steps ----

  runtime::Duty::Task stepTask() {
    return [this, Guard = std::weak_ptr<bool>(Alive)] {
      if (Guard.lock())
        step();
    };
  }

  /// Steps often only while chunks move, so that an agent at rest costs little.
  void setPace() {
    bool Busy = Uploads.due();
    for (const auto &[Version, Shared] : Versions)
      Busy |= !Shared->planner() || !Shared->planner()->held().full();
    if (Busy && !BusyTimer.active())
      BusyTimer =
          Context.Timers->every(BusyInterval, *Context.Control, stepTask());
    else if (!Busy)
      BusyTimer.cancel();
  }

  void step() {
    TimePoint Now = now();
    setPace();
    countLiveTraffic(Now);
    for (auto &[Version, Shared] : Versions) {
      if (!Shared->manifest())
        Manifests.advance(Shared->want(), Now);
      tellHoldings(*Shared, Now);
    }
    planFetches(Now);
    Uploads.pump(Now);
    Transfers.expire(Now);
  }

  /// Takes what live requests and answers moved out of the links' balances, so
  /// that weights yield to them.
  void countLiveTraffic(TimePoint Now) {
    if (!Context.Peers)
      return;
    wire::PeerTraffic Traffic = Context.Peers->traffic();
    std::uint64_t Out = subtract(Traffic.BytesOut, Uploads.bytesSent());
    std::uint64_t In = subtract(Traffic.BytesIn, ReceivedFromPeers);
    Uplink.take(subtract(Out, LiveOut), Now);
    Downlink.take(subtract(In, LiveIn), Now);
    LiveOut = std::max(LiveOut, Out);
    LiveIn = std::max(LiveIn, In);
  }

  static std::uint64_t subtract(std::uint64_t A, std::uint64_t B) {
    return A > B ? A - B : 0;
  }

  // ---- Chunks ----

  /// Lets each version ask for chunks, in the order of their classes' turns.
  /// One that is ahead waits only while the first uses all that it may.
  void planFetches(TimePoint Now) {
    std::vector<SharedVersion *> Active;
    for (auto &[Version, Shared] : Versions)
      if (Shared->planner() && !Shared->planner()->held().full() &&
          Shared->PausedUntil <= Now)
        Active.push_back(Shared.get());
    std::sort(Active.begin(), Active.end(),
              [&](const SharedVersion *A, const SharedVersion *B) {
                return Share.startTag(A->version()) <
                       Share.startTag(B->version());
              });
    for (SharedVersion *Shared : Active) {
      bool Ahead = Share.startTag(Shared->version()) >
                   Share.startTag(Active.front()->version()) + TurnSlack;
      if (!Downlink.ready(Now) ||
          (Ahead && Active.front()->planner()->pullLimitReached()))
        return;
      plan(*Shared, Now);
    }
  }

  void plan(SharedVersion &Shared, TimePoint Now) {
    for (const swarm::ChunkFetch &Fetch :
         Shared.planner()->plan(Now, remoteReads(Shared, Now)))
      start(Shared, Fetch, Now);
  }

  /// @return requests to other regions and the origin that the thin link bears.
  std::size_t remoteReads(SharedVersion &Shared, TimePoint Now) {
    std::uint64_t Limit = Context.Config.Bandwidth.RegionLink;
    double Part = RegionLinkPart * Shared.planner()->regionShare();
    if (Limit == 0 || Part == 0)
      return Unpaced;
    RegionLink.setRate(
        static_cast<std::uint64_t>(static_cast<double>(Limit) * Part), Now);
    return RegionLink.ready(Now) ? 1 : 0;
  }

  void start(SharedVersion &Shared, const swarm::ChunkFetch &Fetch,
             TimePoint Now) {
    const swarm::ManifestChunk &Chunk = Shared.chunk(Fetch.Chunk);
    ChunkTransfers::Asked What{Shared.version(), Chunk.Id};
    if (Fetch.From != swarm::ChunkFetch::Source::Origin) {
      const SharingPeer *Peer = Shared.peer(Fetch.Host);
      if (!Peer)
        return;
      What.From = distance(Self, Peer->Host);
      What.Address = Peer->Address;
      What.Wait = Fetch.From == swarm::ChunkFetch::Source::RegionReader;
    }
    bool Remote =
        What.From == Distance::Origin || What.From == Distance::Remote;
    if (Remote)
      RegionLink.take(Chunk.Bytes, Now);
    Transfers.ask(What, [this, Fetch, What,
                         Epoch = Shared.epoch()](Status How, std::string Data) {
      ended(What, current(What.Version, Fetch, Epoch), How, std::move(Data));
    });
  }

  /// @return \p Fetch, or one that nobody waits for if another planner has
  /// taken over since.
  swarm::ChunkFetch current(const core::Digest &Version,
                            swarm::ChunkFetch Fetch, std::uint64_t Epoch) {
    SharedVersion *Shared = find(Version);
    if (!Shared || Shared->epoch() != Epoch)
      Fetch.Id = 0;
    return Fetch;
  }

  /// A fetch ended, or was queued; its version may have gone in between.
  void ended(const ChunkTransfers::Asked &What, const swarm::ChunkFetch &Fetch,
             Status How, std::string Data) {
    SharedVersion *Shared = find(What.Version);
    if (!Shared || !Shared->planner())
      return;
    // A refusal has taken nothing of the thin link.
    bool Refused = How == Status::Busy || How == Status::NotHeld;
    if (Refused && What.From == Distance::Remote)
      RegionLink.refund(Shared->chunk(Fetch.Chunk).Bytes, now());
    if (How == Status::Data) {
      received(*Shared, What, Fetch, std::move(Data));
      return;
    }
    Shared->planner()->reportOutcome(Fetch.Id, outcomeOf(How), now());
    planFetches(now());
  }

  void received(SharedVersion &Shared, const ChunkTransfers::Asked &What,
                const swarm::ChunkFetch &Fetch, std::string Data) {
    std::uint64_t Bytes = Data.size();
    TimePoint Now = now();
    Downlink.take(Bytes, Now);
    Share.charge(Shared.version(), Shared.want().Class, Bytes);
    if (What.From != Distance::Origin)
      ReceivedFromPeers += Bytes;
    if (Store.holds(What.Id)) {
      Metrics.duplicate(Bytes);
      stored(What, Fetch);
      return;
    }
    Store.write(What.Id, std::move(Data), [this, What, Fetch](auto Written) {
      if (Written)
        stored(What, Fetch);
      else
        notStored(What, Fetch, Written.error());
    });
  }

  void stored(const ChunkTransfers::Asked &What,
              const swarm::ChunkFetch &Fetch) {
    Uploads.stored(What.Id);
    SharedVersion *Shared = find(What.Version);
    if (!Shared || !Shared->planner())
      return;
    TimePoint Now = now();
    if (!Shared->planner()->reportOutcome(Fetch.Id, swarm::FetchOutcome::Stored,
                                          Now))
      Shared->planner()->markStored(Fetch.Chunk, Now);
    Shared->Untold = true;
    if (Shared->planner()->held().full())
      To.OnProgress(What.Version);
    planFetches(Now);
    Uploads.pump(Now);
  }

  void notStored(const ChunkTransfers::Asked &What,
                 const swarm::ChunkFetch &Fetch, const EngineError &Error) {
    bool Full = Error.What == EngineError::Kind::Full;
    SharedVersion *Shared = find(What.Version);
    if (Shared && Shared->planner()) {
      // The peer is not to blame for a full engine.
      Shared->planner()->reportOutcome(Fetch.Id,
                                       Full ? swarm::FetchOutcome::Busy
                                            : swarm::FetchOutcome::Failed,
                                       now());
      if (Full)
        Shared->PausedUntil = now() + FullPause;
    }
    if (Full)
      To.OnFull(What.Version);
  }

  void manifestFound(const core::Digest &Version, swarm::Manifest Whole) {
    SharedVersion *Shared = find(Version);
    if (!Shared || Shared->manifest())
      return;
    Shared->setManifest(std::move(Whole), Store, Context.Config, NextEpoch++,
                        now());
    To.OnProgress(Version);
  }

  // ---- Peers ----

  void serve(const wire::Peer &From, const wire::Sender &Sender,
             const wire::ChunkRequest &Request) {
    auto Version = core::Digest::fromBytes(Request.version());
    if (!Version) {
      Uploads.refuse(From, Request.id(), wire::ChunkReply::STATUS_NOT_HELD);
      return;
    }
    swarm::EngineHost Peer{core::HostId(Sender.host()),
                           core::RegionId(Sender.region()),
                           core::FailureDomainId(Sender.failure_domain())};
    Distance Away = distance(Self, Peer);
    if (Request.chunk().empty() && Store.holds(*Version)) {
      Uploads.sendNow(From, Request.id(), *Version, Away);
      return;
    }
    SharedVersion *Shared = find(*Version);
    auto Chunk = core::Digest::fromBytes(Request.chunk());
    auto Index = Shared && Chunk ? Shared->indexOf(*Chunk) : std::nullopt;
    if (!Index) {
      Uploads.refuse(From, Request.id(), wire::ChunkReply::STATUS_NOT_HELD);
      return;
    }
    bool ForReader = Away != Distance::Domain || Request.wait();
    // Into a full engine nothing can be read for others.
    if (ForReader && !Store.holds(*Chunk) && Shared->PausedUntil > now()) {
      Uploads.refuse(From, Request.id(), wire::ChunkReply::STATUS_BUSY);
      return;
    }
    if (ForReader && Shared->planner() && !Store.holds(*Chunk))
      Shared->planner()->markDemanded(
          *Index, Request.wait() ? swarm::ChunkFetch::Source::RegionReader
                                 : swarm::ChunkFetch::Source::FleetReader);
    swarm::Upload What{Peer.Host,
                       *Version,
                       *Chunk,
                       Request.id(),
                       Shared->chunk(*Index).Bytes,
                       Shared->want().Class,
                       ForReader};
    Uploads.offer(
        {From, Away, std::move(What), Request.wait(), Shared->totalBytes()},
        now());
  }

  void takeHoldings(const wire::Sender &Sender,
                    const wire::HoldingsUpdate &Update) {
    auto Version = core::Digest::fromBytes(Update.version());
    SharedVersion *Shared = Version ? find(*Version) : nullptr;
    if (!Shared)
      return;
    core::HostId Peer(Sender.host());
    TimePoint Now = now();
    // Also before the manifest is known: the peer hears once there is
    // something to tell.
    if (Update.interested())
      Shared->follow(Peer, Now + FollowFor);
    if (!Shared->planner())
      return;
    auto Held = swarm::ChunkSet::fromBytes(Shared->planner()->held().size(),
                                           Update.bitmap());
    if (Held)
      Shared->planner()->peerHolds(Peer, std::move(*Held), Now);
    if (Update.interested())
      tell(*Shared, Peer, /*Interested=*/false);
    planFetches(Now);
  }

  /// Tells followers what is held here when it has changed, and asks the peers
  /// of the view for the same from time to time.
  void tellHoldings(SharedVersion &Shared, TimePoint Now) {
    if (!Shared.planner())
      return;
    bool Whole = Shared.planner()->held().full();
    if (!Whole && Now - Shared.RenewedAt >= FollowRenewal) {
      Shared.RenewedAt = Now;
      for (const core::HostId &Peer : Shared.planner()->view())
        tell(Shared, Peer, /*Interested=*/true);
      for (const core::HostId &Peer : Shared.planner()->remoteView())
        tell(Shared, Peer, /*Interested=*/true);
    }
    if (!Shared.Untold || Now - Shared.ToldAt < HoldingsInterval)
      return;
    Shared.Untold = false;
    Shared.ToldAt = Now;
    for (const core::HostId &Peer : Shared.followers(Now))
      tell(Shared, Peer, /*Interested=*/false);
  }

  void tell(SharedVersion &Shared, const core::HostId &Host, bool Interested) {
    const SharingPeer *Peer = Shared.peer(Host);
    if (!Peer)
      return;
    wire::Envelope Message;
    wire::HoldingsUpdate &Body = *Message.mutable_holdings_update();
    Body.set_version(std::string(Shared.version().bytes()));
    Body.set_bitmap(Shared.planner()->held().bytes());
    Body.set_interested(Interested);
    Send.send(wire::Peer::at(Peer->Address), std::move(Message));
  }

  ProcessContext &Context;
  const MessageSender &Send;
  ChunkStore &Store;
  Hooks To;
  const swarm::EngineHost Self;
  swarm::TokenBucket Uplink;
  swarm::TokenBucket Downlink;
  /// This gateway's part of the link between regions.
  swarm::TokenBucket RegionLink;
  WeightMetrics Metrics;
  ChunkTransfers Transfers;
  ChunkUploads Uploads;
  ManifestFetch Manifests;
  swarm::ClassShare Share;
  std::map<core::Digest, std::unique_ptr<SharedVersion>> Versions;
  std::uint64_t NextEpoch = 1;
  std::uint64_t ReceivedFromPeers = 0;
  std::uint64_t LiveOut = 0;
  std::uint64_t LiveIn = 0;
  std::shared_ptr<bool> Alive;
  runtime::TimerService::Subscription IdleTimer;
  runtime::TimerService::Subscription BusyTimer;
};

} // namespace

std::unique_ptr<ChunkExchange> ChunkExchange::create(ProcessContext &Context,
                                                     const MessageSender &Send,
                                                     ChunkStore &Store,
                                                     Hooks To) {
  return std::make_unique<SwarmChunkExchange>(Context, Send, Store,
                                              std::move(To));
}

} // namespace rosemarylane
