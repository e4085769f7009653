#include "entry/LedgerService.h"

#include "core/Rendezvous.h"
#include "entry/LedgerMessages.h"
#include "ledger/PartitionCommitter.h"

#include <array>
#include <cstdio>
#include <map>
#include <random>

namespace rosemarylane {

namespace {

using namespace std::chrono_literals;

constexpr auto TickInterval = 20ms;

/// How long the preferred entry of a partition may take before this entry
/// commits by itself.
constexpr auto ForwardTimeout = 300ms;

/// An entry that did not reply in time is passed over for this long.
constexpr auto SuspectTime = 2000ms;

ledger::StoreReply::Kind failureKind(const store::StoreError &Error) {
  return Error.What == store::StoreError::Kind::Unknown
             ? ledger::StoreReply::Kind::Lost
             : ledger::StoreReply::Kind::Unavailable;
}

class LedgerServiceImpl final : public LedgerService {
public:
  LedgerServiceImpl(ProcessContext &Context, const MessageSender &Send)
      : Context(Context), Send(Send), Limits(limitsOf(Context.Config)),
        WallStart(std::chrono::system_clock::now()),
        SteadyStart(std::chrono::steady_clock::now()),
        Tick(Context.Timers->every(TickInterval, *Context.Control,
                                   [this] { onTick(); })) {
    for (std::uint32_t P = 0; P < ledger::PartitionCount; ++P)
      Committers.emplace_back(segmentPrefix(), Limits);
  }

  void claim(const LedgerKey &Key, const ClaimedAttempt &Attempt,
             std::function<void(ClaimOutcome)> OnDone) override {
    if (!ledger::isUsableKey(Key.IdempotencyKey, wallNow(),
                             Limits.Values.Retention)) {
      ClaimOutcome Outcome;
      Outcome.What = ClaimOutcome::Kind::Expired;
      return OnDone(std::move(Outcome));
    }
    ledger::Claim Wanted = toClaim(Key, Attempt, wallNow());
    ledger::OutcomeRecord Release;
    Release.Key = Wanted.Key;
    Release.AttemptId = Wanted.Holder.Id;
    Release.What = ledger::Outcome::NotRun;
    commitClaim(std::move(Wanted),
                [this, Release = std::move(Release),
                 OnDone = std::move(OnDone)](const ledger::ClaimReply &Reply) {
                  // The attempt is not dispatched, so what may be in the store
                  // for it is released.
                  if (Reply.MayBeStored)
                    commitRecord(Release, [](ledger::RecordReply) {});
                  OnDone(toOutcome(Reply));
                });
  }

  void record(const LedgerKey &Key, const ClaimedAttempt &Attempt,
              AttemptResult Result, std::function<void(bool)> OnDone) override {
    commitRecord(toRecord(Key, Attempt, Result),
                 [OnDone = std::move(OnDone)](ledger::RecordReply Reply) {
                   OnDone(Reply == ledger::RecordReply::Recorded);
                 });
  }

  void setLiveEntries(std::vector<EntryPeer> Entries) override {
    LiveEntries = std::move(Entries);
    for (std::uint32_t P = 0; P < ledger::PartitionCount; ++P)
      Preferred[P] = preferredOf(P);
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    if (Message.has_ledger_request())
      serve(From, Message.ledger_request());
    else if (Message.has_ledger_reply())
      onReply(Message.ledger_reply());
  }

private:
  using ClaimDone = ledger::PartitionCommitter::ClaimDone;
  using RecordDone = ledger::PartitionCommitter::RecordDone;

  /// A claim or record that the preferred entry has been asked to commit.
  struct Forwarded {
    core::HostId To;
    core::TimePoint Deadline;
    std::function<void(const wire::LedgerReply &)> OnReply;
    std::function<void()> OnTimeout;
  };

  static ledger::CommitterLimits limitsOf(const Settings &Config) {
    ledger::CommitterLimits Limits;
    Limits.Values.Retention = Config.LedgerRetention;
    return Limits;
  }

  /// 16 random hexadecimal digits.
  static std::string segmentPrefix() {
    std::random_device Source;
    char Text[17];
    std::snprintf(Text, sizeof(Text), "%08x%08x", Source(), Source());
    return Text;
  }

  static core::TimePoint now() { return std::chrono::steady_clock::now(); }

  /// Wall-clock time that does not step while the process runs, so that a step
  /// forgets no claim.
  core::WallTime wallNow() const {
    auto Running = std::chrono::duration_cast<core::WallTime::duration>(
        now() - SteadyStart);
    return WallStart + Running;
  }

  std::optional<EntryPeer> preferredOf(std::uint32_t Partition) const {
    std::string Key = ledger::partitionStoreKey(Partition);
    auto Ranked = core::rendezvousRank(
        Key, LiveEntries,
        [](const EntryPeer &E) -> std::string_view { return E.Host.str(); });
    if (Ranked.empty() || Ranked.front().Host == Context.Config.Host)
      return std::nullopt;
    return Ranked.front();
  }

  /// The entry to which to forward work on the partition of \p Key, if not this
  /// one.
  const EntryPeer *forwardTo(const ledger::ClaimKey &Key) {
    const auto &Peer = Preferred[ledger::partitionOf(Key)];
    if (!Peer)
      return nullptr;
    auto Suspect = Suspects.find(Peer->Host);
    if (Suspect == Suspects.end())
      return &*Peer;
    if (now() < Suspect->second)
      return nullptr;
    Suspects.erase(Suspect);
    return &*Peer;
  }

  void commitClaim(ledger::Claim Wanted, ClaimDone OnDone) {
    const EntryPeer *Peer = forwardTo(Wanted.Key);
    if (!Peer)
      return claimHere(std::move(Wanted), /*WasForwarded=*/false,
                       std::move(OnDone));
    wire::LedgerRequest Request = writeClaim(Wanted);
    auto Here = [this, Wanted = std::move(Wanted), OnDone] {
      claimHere(Wanted, /*WasForwarded=*/true, OnDone);
    };
    auto OnReply = [Here, OnDone](const wire::LedgerReply &Message) {
      ledger::ClaimReply Reply = readClaimReply(Message);
      if (Reply.What == ledger::ClaimReply::Kind::Unavailable)
        return Here();
      OnDone(Reply);
    };
    forward(*Peer, std::move(Request), std::move(OnReply), Here);
  }

  /// @param WasForwarded whether another entry may still commit the claim.
  void claimHere(ledger::Claim Wanted, bool WasForwarded, ClaimDone OnDone) {
    std::uint32_t P = ledger::partitionOf(Wanted.Key);
    Committers[P].claim(
        std::move(Wanted), now(),
        [WasForwarded, OnDone = std::move(OnDone)](ledger::ClaimReply Reply) {
          if (Reply.What == ledger::ClaimReply::Kind::Unavailable)
            Reply.MayBeStored = Reply.MayBeStored || WasForwarded;
          OnDone(Reply);
        });
    pump(P);
  }

  void commitRecord(ledger::OutcomeRecord Result, RecordDone OnDone) {
    const EntryPeer *Peer = forwardTo(Result.Key);
    if (!Peer)
      return recordHere(std::move(Result), std::move(OnDone));
    wire::LedgerRequest Request = writeRecord(Result);
    auto Here = [this, Result = std::move(Result), OnDone] {
      recordHere(Result, OnDone);
    };
    auto OnReply = [Here, OnDone](const wire::LedgerReply &Message) {
      ledger::RecordReply Reply = readRecordReply(Message);
      if (Reply == ledger::RecordReply::Unavailable)
        return Here();
      OnDone(Reply);
    };
    forward(*Peer, std::move(Request), std::move(OnReply), Here);
  }

  void recordHere(ledger::OutcomeRecord Result, RecordDone OnDone) {
    std::uint32_t P = ledger::partitionOf(Result.Key);
    Committers[P].record(std::move(Result), std::move(OnDone));
    pump(P);
  }

  void forward(const EntryPeer &Peer, wire::LedgerRequest Request,
               std::function<void(const wire::LedgerReply &)> OnReply,
               std::function<void()> OnTimeout) {
    std::uint64_t Id = ++LastForwarded;
    Request.set_id(Id);
    Waiting[Id] = {Peer.Host, now() + ForwardTimeout, std::move(OnReply),
                   std::move(OnTimeout)};
    wire::Envelope Message;
    *Message.mutable_ledger_request() = std::move(Request);
    Send.send(wire::Peer::at(Peer.PeerAddress), std::move(Message));
  }

  void onReply(const wire::LedgerReply &Reply) {
    auto Found = Waiting.find(Reply.id());
    if (Found == Waiting.end())
      return;
    auto OnReply = std::move(Found->second.OnReply);
    Waiting.erase(Found);
    OnReply(Reply);
  }

  /// Commits for another entry.
  void serve(const wire::Peer &From, const wire::LedgerRequest &Request) {
    if (Request.key().empty())
      return;
    auto Answer = [this, From, Id = Request.id()](wire::LedgerReply Reply) {
      Reply.set_id(Id);
      wire::Envelope Message;
      *Message.mutable_ledger_reply() = std::move(Reply);
      Send.send(From, std::move(Message));
    };
    if (Request.result() == wire::LedgerRequest::RESULT_NONE)
      return claimHere(readClaim(Request), /*WasForwarded=*/false,
                       [Answer](const ledger::ClaimReply &Reply) {
                         Answer(writeReply(Reply));
                       });
    recordHere(readRecord(Request), [Answer](ledger::RecordReply Reply) {
      Answer(writeReply(Reply));
    });
  }

  void onTick() {
    core::TimePoint Now = now();
    std::vector<std::function<void()>> Late;
    for (auto At = Waiting.begin(); At != Waiting.end();) {
      auto Here = At++;
      if (Now < Here->second.Deadline)
        continue;
      Suspects[Here->second.To] = Now + SuspectTime;
      Late.push_back(std::move(Here->second.OnTimeout));
      Waiting.erase(Here);
    }
    for (const auto &OnTimeout : Late)
      OnTimeout();
    for (std::uint32_t P = 0; P < ledger::PartitionCount; ++P)
      pump(P);
  }

  /// Makes the store call that the partition's committer wants.
  void pump(std::uint32_t P) {
    auto Call = Committers[P].next(now(), wallNow());
    if (!Call)
      return;
    std::string Key = Call->Segment.empty()
                          ? ledger::partitionStoreKey(P)
                          : ledger::segmentStoreKey(P, Call->Segment);
    switch (Call->What) {
    case ledger::StoreCall::Kind::Read:
      return Context.Store->read(Key, [this, P](auto Read) {
        onControl([this, P, Read = std::move(Read)] { onRead(P, Read); });
      });
    case ledger::StoreCall::Kind::CompareAndSwap:
      return Context.Store->compareAndSwap(
          Key, Call->Expected, std::move(Call->Value), [this, P](auto Swapped) {
            onControl([this, P, Swapped = std::move(Swapped)] {
              onSwapped(P, Swapped);
            });
          });
    case ledger::StoreCall::Kind::Erase:
      return Context.Store->erase(Key, [this, P](auto Erased) {
        onControl(
            [this, P, Erased = std::move(Erased)] { onErased(P, Erased); });
      });
    }
  }

  /// Runs \p Work later on the control duty, never inside the call that led to
  /// it.
  void onControl(std::function<void()> Work) {
    Context.Control->postAlways(std::move(Work));
  }

  void onRead(std::uint32_t P,
              const core::Result<store::StoredValue, store::StoreError> &Read) {
    ledger::StoreReply Reply;
    if (Read) {
      Reply.What = ledger::StoreReply::Kind::Found;
      Reply.Value = Read->Value;
      Reply.Revision = Read->Revision;
    } else {
      Reply.What = failureKind(Read.error());
    }
    complete(P, std::move(Reply));
  }

  void onSwapped(
      std::uint32_t P,
      const core::Result<store::SwapOutcome, store::StoreError> &Swapped) {
    ledger::StoreReply Reply;
    if (Swapped) {
      Reply.What = Swapped->Swapped ? ledger::StoreReply::Kind::Swapped
                                    : ledger::StoreReply::Kind::Found;
      Reply.Value = Swapped->Current.Value;
      Reply.Revision = Swapped->Current.Revision;
    } else {
      Reply.What = failureKind(Swapped.error());
    }
    complete(P, std::move(Reply));
  }

  void onErased(std::uint32_t P,
                const core::Result<bool, store::StoreError> &Erased) {
    ledger::StoreReply Reply;
    Reply.What =
        Erased ? ledger::StoreReply::Kind::Erased : failureKind(Erased.error());
    complete(P, std::move(Reply));
  }

  void complete(std::uint32_t P, ledger::StoreReply Reply) {
    Committers[P].complete(std::move(Reply), now());
    pump(P);
  }

  ProcessContext &Context;
  const MessageSender &Send;
  const ledger::CommitterLimits Limits;
  const core::WallTime WallStart;
  const core::TimePoint SteadyStart;

  std::vector<EntryPeer> LiveEntries;
  std::array<std::optional<EntryPeer>, ledger::PartitionCount> Preferred;
  std::vector<ledger::PartitionCommitter> Committers;
  std::map<std::uint64_t, Forwarded> Waiting;
  std::uint64_t LastForwarded = 0;
  std::map<core::HostId, core::TimePoint> Suspects;
  runtime::TimerService::Subscription Tick;
};

} // namespace

std::unique_ptr<LedgerService>
LedgerService::create(ProcessContext &Context, const MessageSender &Send) {
  return std::make_unique<LedgerServiceImpl>(Context, Send);
}

} // namespace rosemarylane
