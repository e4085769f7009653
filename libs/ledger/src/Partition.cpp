#include "ledger/Partition.h"

#include "ledger/stored.pb.h"

#include <algorithm>

namespace rosemarylane::ledger {

namespace {

using std::chrono::milliseconds;

/// Approximate size of a stored claim without its variable-length fields.
constexpr std::size_t ClaimOverheadBytes = 90;

/// Approximate size of a stored segment reference.
constexpr std::size_t SegmentReferenceBytes = 48;

std::int64_t millisecondsSinceEpoch(core::WallTime Time) {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
      .count();
}

std::size_t encodedSize(const Claim &C) {
  return ClaimOverheadBytes + C.Holder.Agent.str().size() +
         C.Holder.AgentAddress.size() + C.Answer.size();
}

Claim readClaim(const stored::Claim &Stored) {
  Claim C;
  C.Key = ClaimKey(Stored.key());
  C.Request = RequestHash(Stored.request());
  C.Holder.Id = Stored.attempt();
  C.Holder.Agent = core::HostId(Stored.agent());
  C.Holder.AgentAddress = Stored.agent_address();
  C.Holder.AgentIncarnation = Stored.agent_incarnation();
  C.Holder.AgentTime = milliseconds(Stored.agent_time_ms());
  C.ClaimedAt = core::WallTime(milliseconds(Stored.claimed_at_ms()));
  C.State = static_cast<ClaimState>(Stored.state() - stored::STATE_HELD);
  C.Answer = Stored.answer();
  return C;
}

void writeClaim(const Claim &C, stored::Claim &Stored) {
  Stored.set_key(C.Key.str());
  Stored.set_request(C.Request.str());
  Stored.set_attempt(C.Holder.Id);
  Stored.set_agent(C.Holder.Agent.str());
  Stored.set_agent_address(C.Holder.AgentAddress);
  Stored.set_agent_incarnation(C.Holder.AgentIncarnation);
  Stored.set_agent_time_ms(C.Holder.AgentTime.count());
  Stored.set_claimed_at_ms(
      std::chrono::duration_cast<milliseconds>(C.ClaimedAt.time_since_epoch())
          .count());
  Stored.set_state(static_cast<stored::State>(static_cast<int>(C.State) +
                                              stored::STATE_HELD));
  Stored.set_answer(C.Answer);
}

ClaimReply::Kind replyKind(ClaimState State) {
  switch (State) {
  case ClaimState::Held:
    return ClaimReply::Kind::InProgress;
  case ClaimState::Answered:
    return ClaimReply::Kind::Answered;
  case ClaimState::AnswerDropped:
    return ClaimReply::Kind::AnswerDropped;
  case ClaimState::Unknown:
    return ClaimReply::Kind::Unknown;
  }
  return ClaimReply::Kind::Unknown;
}

} // namespace

Segment::Segment(std::vector<Claim> Executed) {
  for (Claim &C : Executed) {
    ClaimKey Key = C.Key;
    Claims.emplace(std::move(Key), std::move(C));
  }
}

core::Result<Segment, PartitionError> Segment::parse(std::string_view Value) {
  stored::Segment Stored;
  if (!Stored.ParseFromArray(Value.data(), static_cast<int>(Value.size())) ||
      Stored.claims().empty())
    return core::failure(
        PartitionError{"malformed segment: not a valid message or no claims"});
  std::vector<Claim> Executed;
  for (const stored::Claim &C : Stored.claims())
    Executed.push_back(readClaim(C));
  return Segment(std::move(Executed));
}

std::string Segment::format() const {
  stored::Segment Stored;
  for (const auto &[Key, C] : Claims)
    writeClaim(C, *Stored.add_claims());
  return Stored.SerializeAsString();
}

const Claim *Segment::find(const ClaimKey &Key) const {
  auto Found = Claims.find(Key);
  return Found == Claims.end() ? nullptr : &Found->second;
}

core::WallTime Segment::newestClaimTime() const {
  core::WallTime NewestClaimTime;
  for (const auto &[Key, C] : Claims)
    NewestClaimTime = std::max(NewestClaimTime, C.ClaimedAt);
  return NewestClaimTime;
}

core::Result<Partition, PartitionError>
Partition::parse(std::string_view Value) {
  stored::Partition Stored;
  if (!Stored.ParseFromArray(Value.data(), static_cast<int>(Value.size())))
    return core::failure(
        PartitionError{"malformed partition: not a valid message"});
  Partition Result;
  for (const stored::Claim &C : Stored.claims()) {
    if (C.state() < stored::STATE_HELD || C.state() > stored::STATE_UNKNOWN)
      return core::failure(
          PartitionError{"malformed partition: claim with an unknown state"});
    Result.insert(readClaim(C));
  }
  for (const stored::SegmentReference &S : Stored.segments())
    Result.addSegment(
        {S.name(), core::WallTime(milliseconds(S.newest_claim_ms()))});
  return Result;
}

std::string Partition::format() const {
  stored::Partition Stored;
  for (const auto &[Key, C] : Claims)
    writeClaim(C, *Stored.add_claims());
  for (const SegmentReference &S : Segments) {
    stored::SegmentReference &Reference = *Stored.add_segments();
    Reference.set_name(S.Name);
    Reference.set_newest_claim_ms(millisecondsSinceEpoch(S.NewestClaimTime));
  }
  return Stored.SerializeAsString();
}

ClaimReply Partition::claim(const Claim &NewClaim, const Limits &Bounds) {
  auto Found = Claims.find(NewClaim.Key);
  if (Found == Claims.end()) {
    if (Bytes >= Bounds.MaxBytesForNewClaims)
      return {ClaimReply::Kind::Unavailable, {}, false};
    insert(NewClaim);
    return {ClaimReply::Kind::Claimed, NewClaim};
  }
  return replyTo(NewClaim, Found->second);
}

ClaimReply replyTo(const Claim &NewClaim, const Claim &Existing) {
  if (Existing.Request != NewClaim.Request)
    return {ClaimReply::Kind::OtherRequest, Existing};
  bool IsSameAttempt = Existing.Holder.Id == NewClaim.Holder.Id;
  if (IsSameAttempt && Existing.State == ClaimState::Held)
    return {ClaimReply::Kind::Claimed, Existing};
  return {replyKind(Existing.State), Existing};
}

void mergeClaim(Claim &Into, const Claim &Known) {
  auto IsExecuted = [](const Claim &C) {
    return C.State == ClaimState::Answered ||
           C.State == ClaimState::AnswerDropped;
  };
  bool IsSameAttempt = Into.Holder.Id == Known.Holder.Id;
  if (IsExecuted(Into)) {
    if (IsSameAttempt && Known.State == ClaimState::Answered)
      Into = Known;
    return;
  }
  if (IsExecuted(Known)) {
    Into = Known;
    return;
  }
  if (IsSameAttempt) {
    if (Known.State == ClaimState::Unknown)
      Into.State = ClaimState::Unknown;
    return;
  }
  Into.State = ClaimState::Unknown;
  Into.Holder.Id.clear();
  Into.Holder.AgentIncarnation = 0;
  Into.ClaimedAt = std::max(Into.ClaimedAt, Known.ClaimedAt);
}

void Partition::merge(const Claim &Known) {
  auto Found = Claims.find(Known.Key);
  if (Found == Claims.end())
    return insert(Known);
  Bytes -= encodedSize(Found->second);
  mergeClaim(Found->second, Known);
  Bytes += encodedSize(Found->second);
}

RecordReply Partition::record(const OutcomeRecord &Result,
                              const Limits &Bounds) {
  auto Found = Claims.find(Result.Key);
  if (Found == Claims.end() || Found->second.Holder.Id != Result.AttemptId)
    return Result.What == Outcome::NotRun ? RecordReply::Recorded
                                          : RecordReply::Replaced;
  Claim &Existing = Found->second;
  bool Executed = Existing.State == ClaimState::Answered ||
                  Existing.State == ClaimState::AnswerDropped;
  switch (Result.What) {
  case Outcome::NotRun:
    if (Executed)
      return RecordReply::Replaced;
    erase(Found);
    return RecordReply::Recorded;
  case Outcome::Answered:
    if (Executed)
      return RecordReply::Recorded;
    if (Result.Answer.size() > Bounds.MaxAnswerBytes)
      updateState(Existing, ClaimState::AnswerDropped, "");
    else
      updateState(Existing, ClaimState::Answered, Result.Answer);
    return RecordReply::Recorded;
  case Outcome::Unknown:
    if (Executed)
      return RecordReply::Replaced;
    if (Existing.State == ClaimState::Held)
      updateState(Existing, ClaimState::Unknown, "");
    return RecordReply::Recorded;
  }
  return RecordReply::Replaced;
}

std::vector<std::string> Partition::trim(core::WallTime Now,
                                         const Limits &Bounds) {
  for (auto Position = Claims.begin(); Position != Claims.end();) {
    auto Current = Position++;
    if (Now - Current->second.ClaimedAt > Bounds.Retention)
      erase(Current);
  }
  std::vector<std::string> ExpiredSegments;
  std::erase_if(Segments, [&](const SegmentReference &S) {
    if (Now - S.NewestClaimTime <= Bounds.Retention)
      return false;
    ExpiredSegments.push_back(S.Name);
    Bytes -= SegmentReferenceBytes;
    return true;
  });
  dropAnswers(Bounds);
  return ExpiredSegments;
}

void Partition::dropAnswers(const Limits &Bounds) {
  if (Bytes <= Bounds.AnswerDropThresholdBytes)
    return;
  std::vector<Claim *> Answered;
  for (auto &[Key, C] : Claims)
    if (C.State == ClaimState::Answered)
      Answered.push_back(&C);
  std::sort(Answered.begin(), Answered.end(),
            [](Claim *A, Claim *B) { return A->ClaimedAt < B->ClaimedAt; });
  for (Claim *C : Answered) {
    if (Bytes <= Bounds.AnswerDropThresholdBytes)
      return;
    updateState(*C, ClaimState::AnswerDropped, "");
  }
}

const Claim *Partition::find(const ClaimKey &Key) const {
  auto Found = Claims.find(Key);
  return Found == Claims.end() ? nullptr : &Found->second;
}

bool Partition::needsSealing(const Limits &Bounds) const {
  // Each write of the partition's value contains all its claims and segment
  // references. A higher threshold means that claims are rewritten more often
  // before they are sealed; a lower one means more segments, whose references
  // are in every write. Sealing once the claims are twice as large as the
  // references keeps the total bytes written near the minimum.
  std::size_t ReferenceBytes = Segments.size() * SegmentReferenceBytes;
  return Bytes - ReferenceBytes >
         std::max(Bounds.SealThresholdBytes, 2 * ReferenceBytes);
}

std::vector<Claim> Partition::sealableClaims() const {
  std::vector<Claim> Executed;
  for (const auto &[Key, C] : Claims)
    if (C.State == ClaimState::Answered || C.State == ClaimState::AnswerDropped)
      Executed.push_back(C);
  return Executed;
}

std::vector<Claim> Partition::claims() const {
  std::vector<Claim> All;
  for (const auto &[Key, C] : Claims)
    All.push_back(C);
  return All;
}

bool Partition::moveToSegment(const Segment &Sealed, const std::string &Name) {
  bool Moved = false;
  for (const auto &[Key, C] : Sealed.claims()) {
    auto Found = Claims.find(Key);
    if (Found == Claims.end() || Found->second.Holder.Id != C.Holder.Id)
      continue;
    erase(Found);
    Moved = true;
  }
  if (Moved)
    addSegment({Name, Sealed.newestClaimTime()});
  return Moved;
}

void Partition::removeSegment(const std::string &Name) {
  Bytes -= SegmentReferenceBytes *
           std::erase_if(Segments, [&](const SegmentReference &S) {
             return S.Name == Name;
           });
}

bool Partition::hasSegment(const std::string &Name) const {
  return std::any_of(Segments.begin(), Segments.end(),
                     [&](const SegmentReference &S) { return S.Name == Name; });
}

void Partition::addSegment(SegmentReference Added) {
  Bytes += SegmentReferenceBytes;
  Segments.push_back(std::move(Added));
}

void Partition::insert(Claim Inserted) {
  Bytes += encodedSize(Inserted);
  ClaimKey Key = Inserted.Key;
  Claims.emplace(std::move(Key), std::move(Inserted));
}

void Partition::erase(std::map<ClaimKey, Claim>::iterator Position) {
  Bytes -= encodedSize(Position->second);
  Claims.erase(Position);
}

void Partition::updateState(Claim &C, ClaimState State, std::string Answer) {
  Bytes -= encodedSize(C);
  C.State = State;
  C.Answer = std::move(Answer);
  Bytes += encodedSize(C);
}

} // namespace rosemarylane::ledger
