#include "entry/ConfigurationWriter.h"

namespace rosemarylane {

namespace {

using store::StoredValue;
using store::StoreError;
using store::SwapOutcome;

/// A change in progress. Kept alive by the store call or delay in progress.
class ChangeTask : public std::enable_shared_from_this<ChangeTask> {
public:
  ChangeTask(store::KeyValue &Store, ConfigurationWriter::Delay RunLater,
             ConfigurationWriter::Sources Known,
             ConfigurationWriter::Retry Limits,
             core::ConfigurationChange Change,
             ConfigurationWriter::Edit MakeNext,
             ConfigurationWriter::Done OnDone)
      : Store(Store), RunLater(std::move(RunLater)), Known(std::move(Known)),
        Limits(Limits), Change(std::move(Change)),
        MakeNext(std::move(MakeNext)), OnDone(std::move(OnDone)) {}

  void read() {
    Store.read(core::ConfigurationKey, [Self = shared_from_this()](auto Read) {
      if (!Read)
        return Self->retryOrRefuse(Read.error(), &ChangeTask::read);
      Self->applyTo(*Read);
    });
  }

private:
  void applyTo(const StoredValue &Found) {
    auto Stored = core::parseStoredConfiguration(Found.Value);
    if (!Stored)
      return refuse({ChangeRefusal::Kind::Invalid,
                     "the stored configuration cannot be read",
                     Stored.error()});
    auto InForce = Known.InForce();
    bool IsBehind = core::isBehind(*Stored, *InForce);
    if (Stored->change(Change.Id) && !IsBehind)
      return OnDone(std::move(*Stored));
    // A write whose reply was lost has either taken effect, and its id would be
    // in the history, or expected an older revision than the current one and
    // will never take effect. After a restore nobody can tell: the change may
    // be part of the configuration in force, and its id is gone.
    if (ReplyLost && LostIn == Found.History)
      ReplyLost = false;
    auto Fence = Known.Fence(Found.History);
    if (!Fence || Fence->History != Found.History)
      return retryOrRefuse({StoreError::Kind::Unavailable,
                            "the history of the store is in doubt"},
                           &ChangeTask::read);
    if (!MakeNext && !IsBehind)
      return refuse({ChangeRefusal::Kind::Conflict, "the store is not behind"});
    // A write of the history before that landed by chance is made anew.
    std::erase_if(Stored->History, [this](const core::ConfigurationChange &C) {
      return C.Id == Change.Id;
    });
    core::StoredConfiguration Base = *Stored;
    Base.Current = core::newestOf(*Stored, *InForce);
    auto Next = makeNext(Base);
    if (!Next) {
      Next.error().CurrentRevision = Base.Current.Revision;
      if (ReplyLost)
        Next.error().Type = ChangeRefusal::Kind::Unknown;
      return refuse(std::move(Next.error()));
    }
    Change.Revision = InForce->Revision;
    NewConfiguration = core::applyChange(*Stored, std::move(*Next), Change);
    Value = core::formatStoredConfiguration(NewConfiguration);
    if (Value.size() > core::MaxStoredBytes)
      return refuse(tooLarge());
    Condition = {Found.position(), Fence->Key, Fence->Value};
    swap();
  }

  core::Result<core::Configuration, ChangeRefusal>
  makeNext(const core::StoredConfiguration &Base) const {
    if (MakeNext)
      return MakeNext(Base);
    return Base.Current;
  }

  void swap() {
    Store.compareAndSwap(core::ConfigurationKey, Condition, Value,
                         [Self = shared_from_this()](auto Swapped) {
                           if (!Swapped)
                             return Self->retryOrRefuse(Swapped.error(),
                                                        &ChangeTask::swap);
                           Self->onSwapped(*Swapped);
                         });
  }

  void onSwapped(const SwapOutcome &Outcome) {
    // Of another history: the expected revision was there by chance, or is not
    // that of the value that was read. Whether the change was made is seen from
    // its id.
    bool IsOfOther = Outcome.Current.History != Condition.Expected.History;
    if (Outcome.Swapped && IsOfOther)
      loseReply(Outcome.Current.History);
    if (!Outcome.GuardHeld || IsOfOther)
      return retryOrRefuse(
          {StoreError::Kind::OtherHistory, "the store was restored"},
          &ChangeTask::read);
    if (!Outcome.Swapped)
      return applyTo(Outcome.Current);
    OnDone(std::move(NewConfiguration));
  }

  /// A write may have taken effect in the history \p In of the store.
  void loseReply(std::uint64_t In) {
    ReplyLost = true;
    LostIn = In;
  }

  /// Retries \p Step. After a lost reply to a compare-and-swap, \p Step is the
  /// same compare-and-swap, whose reply tells whether the first one took
  /// effect.
  void retryOrRefuse(const StoreError &Error, void (ChangeTask::*Step)()) {
    if (Step == &ChangeTask::swap && Error.What == StoreError::Kind::Unknown)
      loseReply(Condition.Expected.History);
    // The condition can hold in no other history: it is made anew.
    if (Error.What == StoreError::Kind::OtherHistory)
      Step = &ChangeTask::read;
    if (++Failures >= Limits.MaxFailures ||
        Error.What == StoreError::Kind::Rejected)
      return refuse({ReplyLost ? ChangeRefusal::Kind::Unknown
                               : ChangeRefusal::Kind::Unavailable,
                     Error.Detail,
                     {}});
    RunLater(Limits.Interval,
             [Self = shared_from_this(), Step] { (*Self.*Step)(); });
  }

  ChangeRefusal tooLarge() const {
    return {ChangeRefusal::Kind::Invalid,
            "the configuration is too large",
            {{"$", std::to_string(Value.size()) + " bytes",
              "at most " + std::to_string(core::MaxStoredBytes) +
                  " bytes with the history"}}};
  }

  void refuse(ChangeRefusal Refusal) {
    OnDone(core::failure(std::move(Refusal)));
  }

  store::KeyValue &Store;
  ConfigurationWriter::Delay RunLater;
  ConfigurationWriter::Sources Known;
  ConfigurationWriter::Retry Limits;
  core::ConfigurationChange Change;
  /// Empty to write the configuration in force again.
  ConfigurationWriter::Edit MakeNext;
  ConfigurationWriter::Done OnDone;

  core::StoredConfiguration NewConfiguration;
  std::string Value;
  store::SwapCondition Condition;
  bool ReplyLost = false;
  std::uint64_t LostIn = 0;
  unsigned Failures = 0;
};

} // namespace

ConfigurationWriter::ConfigurationWriter(store::KeyValue &Store, Delay RunLater,
                                         Sources Known, Retry Limits)
    : Store(Store), RunLater(std::move(RunLater)), Known(std::move(Known)),
      Limits(Limits) {}

ConfigurationWriter::ConfigurationWriter(store::KeyValue &Store, Delay RunLater,
                                         Sources Known)
    : ConfigurationWriter(Store, std::move(RunLater), std::move(Known),
                          Retry()) {}

void ConfigurationWriter::change(core::ConfigurationChange Change,
                                 Edit MakeNext, Done OnDone) {
  std::make_shared<ChangeTask>(Store, RunLater, Known, Limits,
                               std::move(Change), std::move(MakeNext),
                               std::move(OnDone))
      ->read();
}

void ConfigurationWriter::writeAgain(core::ConfigurationChange Change,
                                     Done OnDone) {
  change(std::move(Change), nullptr, std::move(OnDone));
}

} // namespace rosemarylane
