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
             ConfigurationWriter::Retry Limits,
             core::ConfigurationChange Change,
             ConfigurationWriter::Edit MakeNext,
             ConfigurationWriter::Done OnDone)
      : Store(Store), RunLater(std::move(RunLater)), Limits(Limits),
        Change(std::move(Change)), MakeNext(std::move(MakeNext)),
        OnDone(std::move(OnDone)) {}

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
    if (Stored->change(Change.Id))
      return OnDone(std::move(*Stored));
    // A write whose reply was lost has either taken effect, and its id would be
    // in the history, or expected an older revision than the current one and
    // will never take effect.
    ReplyLost = false;
    auto Next = MakeNext(*Stored);
    if (!Next) {
      Next.error().CurrentRevision = Stored->Current.Revision;
      return refuse(std::move(Next.error()));
    }
    NewConfiguration = core::applyChange(*Stored, std::move(*Next), Change);
    Value = core::formatStoredConfiguration(NewConfiguration);
    if (Value.size() > core::MaxStoredBytes)
      return refuse(tooLarge());
    Expected = Found.position();
    swap();
  }

  void swap() {
    Store.compareAndSwap(core::ConfigurationKey, {Expected}, Value,
                         [Self = shared_from_this()](auto Swapped) {
                           if (!Swapped)
                             return Self->retryOrRefuse(Swapped.error(),
                                                        &ChangeTask::swap);
                           if (!Swapped->Swapped)
                             return Self->applyTo(Swapped->Current);
                           Self->OnDone(std::move(Self->NewConfiguration));
                         });
  }

  /// Retries \p Step. After a lost reply to a compare-and-swap, \p Step is the
  /// same compare-and-swap, whose reply tells whether the first one took
  /// effect.
  void retryOrRefuse(const StoreError &Error, void (ChangeTask::*Step)()) {
    if (Step == &ChangeTask::swap && Error.What == StoreError::Kind::Unknown)
      ReplyLost = true;
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
  ConfigurationWriter::Retry Limits;
  core::ConfigurationChange Change;
  ConfigurationWriter::Edit MakeNext;
  ConfigurationWriter::Done OnDone;

  core::StoredConfiguration NewConfiguration;
  std::string Value;
  store::StorePosition Expected;
  bool ReplyLost = false;
  unsigned Failures = 0;
};

} // namespace

ConfigurationWriter::ConfigurationWriter(store::KeyValue &Store, Delay RunLater,
                                         Retry Limits)
    : Store(Store), RunLater(std::move(RunLater)), Limits(Limits) {}

ConfigurationWriter::ConfigurationWriter(store::KeyValue &Store, Delay RunLater)
    : ConfigurationWriter(Store, std::move(RunLater), Retry()) {}

void ConfigurationWriter::change(core::ConfigurationChange Change,
                                 Edit MakeNext, Done OnDone) {
  std::make_shared<ChangeTask>(Store, RunLater, Limits, std::move(Change),
                               std::move(MakeNext), std::move(OnDone))
      ->read();
}

} // namespace rosemarylane
