#include "entry/LedgerService.h"

#include "core/Rendezvous.h"
#include "entry/LedgerMessages.h"
#include "ledger/HistoryFence.h"
#include "ledger/PartitionCommitter.h"
#include "telemetry/Log.h"

#include <array>
#include <cstdio>
#include <map>
#include <random>

namespace rosemarylane {

namespace {

using namespace std::chrono_literals;

constexpr auto TickInterval = 20ms;

/// Time that the preferred entry of a partition may take to reply, after which
/// this entry commits by itself.
constexpr auto ForwardTimeout = 300ms;

/// Time for which nothing is forwarded to an entry that did not reply in time.
constexpr auto SuspectDuration = 2000ms;

ledger::StoreReply::Kind failureKind(const store::StoreError &Error) {
  switch (Error.What) {
  case store::StoreError::Kind::Unknown:
    return ledger::StoreReply::Kind::Lost;
  case store::StoreError::Kind::OtherHistory:
    return ledger::StoreReply::Kind::OtherHistory;
  default:
    return ledger::StoreReply::Kind::Unavailable;
  }
}

ledger::StoreReply
replyOf(const core::Result<store::StoredValue, store::StoreError> &Read) {
  ledger::StoreReply Reply;
  if (!Read) {
    Reply.What = failureKind(Read.error());
    return Reply;
  }
  Reply.What = ledger::StoreReply::Kind::Found;
  Reply.Value = Read->Value;
  Reply.Revision = Read->Revision;
  Reply.History = Read->History;
  return Reply;
}

ledger::StoreReply
replyOf(const core::Result<store::SwapOutcome, store::StoreError> &Swapped) {
  ledger::StoreReply Reply;
  if (!Swapped) {
    Reply.What = failureKind(Swapped.error());
    return Reply;
  }
  Reply.What = ledger::StoreReply::Kind::Found;
  if (Swapped->Swapped)
    Reply.What = ledger::StoreReply::Kind::Swapped;
  else if (!Swapped->GuardHeld)
    Reply.What = ledger::StoreReply::Kind::OtherHistory;
  Reply.Value = Swapped->Current.Value;
  Reply.Revision = Swapped->Current.Revision;
  Reply.History = Swapped->Current.History;
  return Reply;
}

store::SwapCondition conditionOf(const ledger::StoreCall &Call) {
  store::SwapCondition Condition;
  Condition.Expected = {Call.Expected, Call.History};
  if (!Call.Fence.empty()) {
    Condition.GuardKey = ledger::HistoryFenceKey;
    Condition.GuardValue = Call.Fence;
  }
  return Condition;
}

class LedgerServiceImpl final : public LedgerService {
public:
  LedgerServiceImpl(ProcessContext &Context, const MessageSender &Send)
      : Context(Context), Send(Send), Limits(limitsOf(Context.Config)),
        WallStart(std::chrono::system_clock::now()),
        SteadyStart(std::chrono::steady_clock::now()),
        Tick(Context.Timers->every(TickInterval, *Context.Control,
                                   [this] { onTick(); })) {
    for (std::uint32_t P = 0; P < ledger::PartitionCount; ++P) {
      Committers.emplace_back(segmentPrefix(), Limits);
      Committers.back().awaitHistory();
    }
  }

  void claim(const LedgerKey &Key, const ClaimedAttempt &Attempt,
             std::function<void(ClaimOutcome)> OnDone) override {
    if (!ledger::isUsableKey(Key.IdempotencyKey, wallNow(),
                             Limits.Values.Retention)) {
      ClaimOutcome Outcome;
      Outcome.Type = ClaimOutcome::Kind::Expired;
      return OnDone(std::move(Outcome));
    }
    ledger::Claim NewClaim = toClaim(Key, Attempt, wallNow());
    ledger::OutcomeRecord Release;
    Release.Key = NewClaim.Key;
    Release.AttemptId = NewClaim.Holder.Id;
    Release.What = ledger::Outcome::NotRun;
    ledger::Claim Held = NewClaim;
    commitClaim(std::move(NewClaim),
                [this, Release = std::move(Release), Held = std::move(Held),
                 OnDone = std::move(OnDone)](const ledger::ClaimReply &Reply) {
                  if (Reply.What == ledger::ClaimReply::Kind::Claimed)
                    committerOf(Held.Key).remember(Held);
                  // The attempt will not be sent, so a claim that may have been
                  // stored for it is released.
                  if (Reply.MayBeStored)
                    commitRecord(Release, [](ledger::RecordReply) {});
                  OnDone(toOutcome(Reply));
                });
  }

  void record(const LedgerKey &Key, const ClaimedAttempt &Attempt,
              AttemptResult Result, std::function<void(bool)> OnDone) override {
    ledger::OutcomeRecord Record = toRecord(Key, Attempt, Result);
    ledger::OutcomeRecord Known = Record;
    Known.Answer.clear();
    commitRecord(std::move(Record),
                 [this, Known = std::move(Known),
                  OnDone = std::move(OnDone)](ledger::RecordReply Reply) {
                   bool IsRecorded = Reply == ledger::RecordReply::Recorded;
                   if (IsRecorded)
                     committerOf(Known.Key).rememberOutcome(Known);
                   OnDone(IsRecorded);
                 });
  }

  void setLiveEntries(std::vector<EntryPeer> Entries) override {
    LiveEntries = std::move(Entries);
    for (std::uint32_t P = 0; P < ledger::PartitionCount; ++P)
      PreferredEntries[P] = preferredEntry(P);
  }

  std::optional<ledger::HistoryState> history(std::uint64_t Met) override {
    if (Fence.current() && Fence.current()->History != Met)
      Fence.doubt();
    return Fence.current();
  }

  void receive(const wire::Peer &From, const wire::Envelope &Message) override {
    if (Message.has_ledger_request())
      handleForwardedRequest(From, Message.ledger_request());
    else if (Message.has_ledger_reply())
      onReply(Message.ledger_reply());
  }

private:
  using ClaimDone = ledger::PartitionCommitter::ClaimDone;
  using RecordDone = ledger::PartitionCommitter::RecordDone;

  /// A claim or record that was forwarded to the preferred entry.
  struct ForwardedRequest {
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

  /// @return 16 random hexadecimal digits.
  static std::string segmentPrefix() {
    std::random_device Source;
    char Text[17];
    std::snprintf(Text, sizeof(Text), "%08x%08x", Source(), Source());
    return Text;
  }

  static core::TimePoint now() { return std::chrono::steady_clock::now(); }

  /// @return the wall-clock time, which is not adjusted while the process runs:
  /// a jump of the system clock would make claims expire early.
  core::WallTime wallNow() const {
    auto Running = std::chrono::duration_cast<core::WallTime::duration>(
        now() - SteadyStart);
    return WallStart + Running;
  }

  std::optional<EntryPeer> preferredEntry(std::uint32_t Partition) const {
    std::string Key = ledger::partitionStoreKey(Partition);
    auto Ranked = core::rendezvousRank(
        Key, LiveEntries,
        [](const EntryPeer &E) -> std::string_view { return E.Host.str(); });
    if (Ranked.empty() || Ranked.front().Host == Context.Config.Host)
      return std::nullopt;
    return Ranked.front();
  }

  /// @return the entry to forward work on the partition of \p Key to, or null
  /// if this entry does the work.
  const EntryPeer *peerToForwardTo(const ledger::ClaimKey &Key) {
    const auto &Peer = PreferredEntries[ledger::partitionOf(Key)];
    if (!Peer)
      return nullptr;
    auto Suspect = SuspectEntries.find(Peer->Host);
    if (Suspect == SuspectEntries.end())
      return &*Peer;
    if (now() < Suspect->second)
      return nullptr;
    SuspectEntries.erase(Suspect);
    return &*Peer;
  }

  void commitClaim(ledger::Claim NewClaim, ClaimDone OnDone) {
    const EntryPeer *Peer = peerToForwardTo(NewClaim.Key);
    if (!Peer)
      return claimLocally(std::move(NewClaim), /*WasForwarded=*/false,
                          std::move(OnDone));
    wire::LedgerRequest Request = writeClaim(NewClaim);
    auto CommitLocally = [this, NewClaim = std::move(NewClaim), OnDone] {
      claimLocally(NewClaim, /*WasForwarded=*/true, OnDone);
    };
    auto OnReply = [CommitLocally, OnDone](const wire::LedgerReply &Message) {
      ledger::ClaimReply Reply = readClaimReply(Message);
      if (Reply.What == ledger::ClaimReply::Kind::Unavailable)
        return CommitLocally();
      OnDone(Reply);
    };
    forward(*Peer, std::move(Request), std::move(OnReply), CommitLocally);
  }

  ledger::PartitionCommitter &committerOf(const ledger::ClaimKey &Key) {
    return Committers[ledger::partitionOf(Key)];
  }

  /// @param WasForwarded whether another entry may still commit the claim.
  void claimLocally(ledger::Claim NewClaim, bool WasForwarded,
                    ClaimDone OnDone) {
    std::uint32_t P = ledger::partitionOf(NewClaim.Key);
    Committers[P].claim(
        std::move(NewClaim), now(),
        [WasForwarded, OnDone = std::move(OnDone)](ledger::ClaimReply Reply) {
          if (Reply.What == ledger::ClaimReply::Kind::Unavailable)
            Reply.MayBeStored = Reply.MayBeStored || WasForwarded;
          OnDone(Reply);
        });
    makeNextStoreCall(P);
  }

  void commitRecord(ledger::OutcomeRecord Result, RecordDone OnDone) {
    const EntryPeer *Peer = peerToForwardTo(Result.Key);
    if (!Peer)
      return recordLocally(std::move(Result), std::move(OnDone));
    wire::LedgerRequest Request = writeRecord(Result);
    auto CommitLocally = [this, Result = std::move(Result), OnDone] {
      recordLocally(Result, OnDone);
    };
    auto OnReply = [CommitLocally, OnDone](const wire::LedgerReply &Message) {
      ledger::RecordReply Reply = readRecordReply(Message);
      if (Reply == ledger::RecordReply::Unavailable)
        return CommitLocally();
      OnDone(Reply);
    };
    forward(*Peer, std::move(Request), std::move(OnReply), CommitLocally);
  }

  void recordLocally(ledger::OutcomeRecord Result, RecordDone OnDone) {
    std::uint32_t P = ledger::partitionOf(Result.Key);
    Committers[P].record(std::move(Result), std::move(OnDone));
    makeNextStoreCall(P);
  }

  void forward(const EntryPeer &Peer, wire::LedgerRequest Request,
               std::function<void(const wire::LedgerReply &)> OnReply,
               std::function<void()> OnTimeout) {
    std::uint64_t Id = ++LastForwardId;
    Request.set_id(Id);
    PendingForwards[Id] = {Peer.Host, now() + ForwardTimeout,
                           std::move(OnReply), std::move(OnTimeout)};
    wire::Envelope Message;
    *Message.mutable_ledger_request() = std::move(Request);
    Send.send(wire::Peer::at(Peer.PeerAddress), std::move(Message));
  }

  void onReply(const wire::LedgerReply &Reply) {
    auto Found = PendingForwards.find(Reply.id());
    if (Found == PendingForwards.end())
      return;
    auto OnReply = std::move(Found->second.OnReply);
    PendingForwards.erase(Found);
    OnReply(Reply);
  }

  /// Handles a claim or record that another entry forwarded.
  void handleForwardedRequest(const wire::Peer &From,
                              const wire::LedgerRequest &Request) {
    if (Request.key().empty())
      return;
    auto SendReply = [this, From, Id = Request.id()](wire::LedgerReply Reply) {
      Reply.set_id(Id);
      wire::Envelope Message;
      *Message.mutable_ledger_reply() = std::move(Reply);
      Send.send(From, std::move(Message));
    };
    if (Request.result() == wire::LedgerRequest::RESULT_NONE)
      return claimLocally(readClaim(Request), /*WasForwarded=*/false,
                          [SendReply](const ledger::ClaimReply &Reply) {
                            SendReply(writeReply(Reply));
                          });
    recordLocally(readRecord(Request), [SendReply](ledger::RecordReply Reply) {
      SendReply(writeReply(Reply));
    });
  }

  void onTick() {
    core::TimePoint Now = now();
    std::vector<std::function<void()>> TimedOut;
    for (auto Next = PendingForwards.begin(); Next != PendingForwards.end();) {
      auto Current = Next++;
      if (Now < Current->second.Deadline)
        continue;
      SuspectEntries[Current->second.To] = Now + SuspectDuration;
      TimedOut.push_back(std::move(Current->second.OnTimeout));
      PendingForwards.erase(Current);
    }
    for (const auto &OnTimeout : TimedOut)
      OnTimeout();
    makeNextFenceCall();
    for (std::uint32_t P = 0; P < ledger::PartitionCount; ++P)
      makeNextStoreCall(P);
  }

  /// Makes the store call that the partition's committer needs next, if any.
  void makeNextStoreCall(std::uint32_t P) {
    auto Call = Committers[P].next(now(), wallNow());
    if (!Call)
      return;
    std::string Key = Call->Segment.empty()
                          ? ledger::partitionStoreKey(P)
                          : ledger::segmentStoreKey(P, Call->Segment);
    switch (Call->What) {
    case ledger::StoreCall::Kind::Read:
      return Context.Store->read(Key, [this, P](auto Read) {
        postToControl(
            [this, P, Read = std::move(Read)] { complete(P, replyOf(Read)); });
      });
    case ledger::StoreCall::Kind::CompareAndSwap:
      return Context.Store->compareAndSwap(
          Key, conditionOf(*Call), std::move(Call->Value),
          [this, P](auto Swapped) {
            postToControl([this, P, Swapped = std::move(Swapped)] {
              complete(P, replyOf(Swapped));
            });
          });
    case ledger::StoreCall::Kind::Erase:
      return Context.Store->erase(Key, [this, P](auto Erased) {
        postToControl(
            [this, P, Erased = std::move(Erased)] { onErased(P, Erased); });
      });
    }
  }

  /// Posts \p Work to the control duty, so that it never runs inside the store
  /// call that caused it.
  void postToControl(std::function<void()> Work) {
    Context.Control->postAlways(std::move(Work));
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
    if (Committers[P].historyInDoubt())
      Fence.doubt();
    makeNextStoreCall(P);
  }

  /// Makes the store call that the fence needs next, if any.
  void makeNextFenceCall() {
    auto Call = Fence.next(now());
    if (!Call)
      return;
    auto OnDone = [this](auto Answer) {
      postToControl([this, Answer = std::move(Answer)] {
        completeFence(replyOf(Answer));
      });
    };
    if (Call->What == ledger::StoreCall::Kind::Read)
      return Context.Store->read(ledger::HistoryFenceKey, OnDone);
    Context.Store->compareAndSwap(ledger::HistoryFenceKey, conditionOf(*Call),
                                  std::move(Call->Value), OnDone);
  }

  void completeFence(const ledger::StoreReply &Reply) {
    Fence.complete(Reply, now());
    if (!Fence.current())
      return makeNextFenceCall();
    tellHistory(*Fence.current());
    for (std::uint32_t P = 0; P < ledger::PartitionCount; ++P)
      makeNextStoreCall(P);
  }

  void tellHistory(const ledger::HistoryState &Current) {
    if (!(Told == std::optional(Current)) && (Told || !Current.Settled))
      telemetry::log(
          telemetry::Level::Warning,
          Current.Settled ? "keys are claimed again"
                          : "store restored: no key is claimed "
                            "until claims are written again",
          {{"history_before", std::to_string(Told ? Told->History : 0)},
           {"history", std::to_string(Current.History)}});
    Told = Current;
    for (ledger::PartitionCommitter &Committer : Committers)
      Committer.setHistory(Current);
  }

  ProcessContext &Context;
  const MessageSender &Send;
  const ledger::CommitterLimits Limits;
  const core::WallTime WallStart;
  const core::TimePoint SteadyStart;

  std::vector<EntryPeer> LiveEntries;
  std::array<std::optional<EntryPeer>, ledger::PartitionCount> PreferredEntries;
  std::vector<ledger::PartitionCommitter> Committers;
  ledger::HistoryFence Fence;
  /// What the committers were told last.
  std::optional<ledger::HistoryState> Told;
  std::map<std::uint64_t, ForwardedRequest> PendingForwards;
  std::uint64_t LastForwardId = 0;
  std::map<core::HostId, core::TimePoint> SuspectEntries;
  runtime::TimerService::Subscription Tick;
};

} // namespace

std::unique_ptr<LedgerService>
LedgerService::create(ProcessContext &Context, const MessageSender &Send) {
  return std::make_unique<LedgerServiceImpl>(Context, Send);
}

} // namespace rosemarylane
