#include "store/EtcdKeyValue.h"

#include "Deliver.h"
#include "EtcdJson.h"
#include "StoreErrors.h"
#include "http/Client.h"

#include <atomic>

namespace rosemarylane::store {

namespace {

/// Longest line of a watch's answer: a value of a megabyte in base64, several
/// in one notice.
constexpr std::size_t MaxWatchLineBytes = 16 << 20;

http::Request post(const char *Path, std::string Body) {
  return {
      "POST", Path, {{"Content-Type", "application/json"}}, std::move(Body)};
}

/// The history of the latest answer of the service. Shared by the calls in
/// progress, from any thread.
class SeenHistory {
public:
  void see(std::uint64_t History) {
    if (History != 0)
      Latest = History;
  }

  /// Whether \p Expected certainly belongs to another history.
  bool excludes(const StorePosition &Expected) const {
    std::uint64_t Now = Latest;
    return Now != 0 && Expected.History != 0 && Expected.History != Now;
  }

private:
  std::atomic<std::uint64_t> Latest{0};
};

/// One watch. What it reads belongs to the sockets' duty, the hooks to the
/// delivering one; calls no hook once its handle was dropped, although the
/// sockets' duty may still be reading a part for it.
class WatchState : public std::enable_shared_from_this<WatchState> {
public:
  WatchState(runtime::Duty &Deliver, std::chrono::milliseconds Idle,
             std::uint64_t History, std::function<void(StoredValue)> OnChange,
             std::function<void(StoreError)> OnLost)
      : Deliver(Deliver), Idle(Idle), History(History),
        OnChange(std::move(OnChange)), OnLost(std::move(OnLost)) {}

  /// The answer has begun.
  void begin() { LastNotice = std::chrono::steady_clock::now(); }

  /// Takes one part of the answer, which ends anywhere in a line.
  void take(std::string_view Part) {
    if (Ended)
      return;
    Line += Part;
    std::size_t Begin = 0;
    for (auto End = Line.find('\n'); !Ended && End != std::string::npos;
         End = Line.find('\n', Begin)) {
      takeLine(std::string_view(Line).substr(Begin, End - Begin));
      Begin = End + 1;
    }
    Line.erase(0, Begin);
    if (Line.size() > MaxWatchLineBytes)
      lose(malformedAnswer(CallKind::Read, "line too long"));
    // Bytes that make no notice may come without end.
    if (std::chrono::steady_clock::now() - LastNotice > Idle)
      lose({StoreError::Kind::Unavailable, "bytes, but no notice"});
  }

  /// The handle is dropped.
  void drop() { Dropped = true; }

  void lose(StoreError Why) {
    if (std::exchange(Ended, true))
      return;
    deliver([Why = std::move(Why)](WatchState &Self) { Self.OnLost(Why); });
  }

private:
  void takeLine(std::string_view Text) {
    if (Text.empty())
      return;
    try {
      auto Message = etcd_json::parseWatch(Text);
      LastNotice = std::chrono::steady_clock::now();
      // Also progress notices tell: the revision to begin from can be one that
      // a restored service reaches much later.
      if (History != 0 && Message.History != 0 && Message.History != History)
        return lose({StoreError::Kind::OtherHistory,
                     "the service has another history"});
      for (StoredValue &Change : Message.Changes)
        deliver([Change = std::move(Change)](WatchState &Self) {
          Self.OnChange(Change);
        });
      if (Message.Cancelled)
        lose({StoreError::Kind::Rejected, Message.Reason});
    } catch (const std::exception &E) {
      lose(malformedAnswer(CallKind::Read, E.what()));
    }
  }

  template <typename Hook> void deliver(Hook Call) {
    Deliver.postAlways([Weak = weak_from_this(), Call = std::move(Call)] {
      auto Self = Weak.lock();
      if (Self && !Self->Dropped)
        Call(*Self);
    });
  }

  runtime::Duty &Deliver;
  const std::chrono::milliseconds Idle;
  /// The history that the watch's revision belongs to; 0 if not known.
  const std::uint64_t History;
  std::function<void(StoredValue)> OnChange;
  std::function<void(StoreError)> OnLost;
  std::atomic<bool> Dropped{false};
  std::chrono::steady_clock::time_point LastNotice;
  std::string Line;
  bool Ended = false;
};

/// Ends the exchange when dropped.
class EtcdWatch : public KeyValue::Watch {
public:
  EtcdWatch(std::shared_ptr<WatchState> State,
            std::shared_ptr<http::Client::Call> Running)
      : State(std::move(State)), Running(std::move(Running)) {}
  ~EtcdWatch() override {
    State->drop();
    Running->cancel();
  }

private:
  std::shared_ptr<WatchState> State;
  std::shared_ptr<http::Client::Call> Running;
};

class EtcdKeyValue : public KeyValue {
public:
  EtcdKeyValue(runtime::Duty &Io, runtime::Duty &Deliver, EtcdSettings Settings)
      : Deliver(Deliver), Settings(std::move(Settings)),
        Http(http::Client::create(Io)) {}

  void read(const std::string &Key, Hook<StoredValue> OnDone) override {
    auto Parse = [Seen = Seen](const std::string &Body) {
      StoredValue Found = etcd_json::parseRange(Body);
      Seen->see(Found.History);
      return Found;
    };
    call<StoredValue>(CallKind::Read, "/v3/kv/range",
                      etcd_json::rangeRequest(Key), Parse, std::move(OnDone));
  }

  void compareAndSwap(const std::string &Key, SwapCondition Condition,
                      std::string Value, Hook<SwapOutcome> OnDone) override {
    if (Seen->excludes(Condition.Expected))
      return deliver<SwapOutcome>(Deliver, OnDone,
                                  core::failure(conditionOfOtherHistory()));
    std::string Body = etcd_json::swapRequest(Key, Condition, Value);
    auto Parse = [Seen = Seen, Condition = std::move(Condition),
                  Value = std::move(Value)](const std::string &Answer) {
      SwapOutcome Outcome = etcd_json::parseSwap(Answer, Condition, Value);
      Seen->see(Outcome.Current.History);
      return Outcome;
    };
    call<SwapOutcome>(CallKind::Write, "/v3/kv/txn", std::move(Body), Parse,
                      std::move(OnDone));
  }

  void erase(const std::string &Key, Hook<bool> OnDone) override {
    auto Parse = [](const std::string &Body) {
      return etcd_json::parseErase(Body);
    };
    call<bool>(CallKind::Write, "/v3/kv/deleterange",
               etcd_json::rangeRequest(Key), Parse, std::move(OnDone));
  }

  std::unique_ptr<Watch>
  watch(const std::string &Key, StorePosition From,
        std::function<void(StoredValue)> OnChange,
        std::function<void(StoreError)> OnLost) override {
    auto State =
        std::make_shared<WatchState>(Deliver, Settings.WatchIdle, From.History,
                                     std::move(OnChange), std::move(OnLost));
    std::weak_ptr<WatchState> Weak = State;
    http::Client::Hooks Hooks;
    Hooks.OnHead = [Weak](const http::ResponseHead &Head) {
      auto Watch = Weak.lock();
      if (!Watch)
        return;
      Watch->begin();
      if (auto Error = statusError(CallKind::Read, {Head, {}}))
        Watch->lose(std::move(*Error));
    };
    Hooks.OnPart = [Weak](const std::string &Part) {
      if (auto Watch = Weak.lock())
        Watch->take(Part);
    };
    Hooks.OnDone = [Weak](const std::optional<http::Error> &Failure) {
      auto Watch = Weak.lock();
      if (!Watch)
        return;
      if (Failure)
        Watch->lose(toStoreError(CallKind::Read, *Failure));
      else
        Watch->lose({StoreError::Kind::Unavailable, "the watch was ended"});
    };
    http::Deadlines Limits;
    Limits.Connect = Settings.CallDeadline;
    Limits.FirstByte = Settings.WatchIdle;
    Limits.Idle = Settings.WatchIdle;
    auto Running = Http->stream(
        Settings.Address,
        post("/v3/watch", etcd_json::watchRequest(Key, From.Revision)), Limits,
        std::move(Hooks), true);
    return std::make_unique<EtcdWatch>(std::move(State), std::move(Running));
  }

private:
  template <typename T, typename Parser>
  void call(CallKind Kind, const char *Path, std::string Body, Parser Parse,
            Hook<T> OnDone) {
    http::Deadlines Limits;
    Limits.Connect = Settings.CallDeadline;
    Limits.FirstByte = Settings.CallDeadline;
    Limits.Idle = Settings.CallDeadline;
    Limits.Total = Settings.CallDeadline;
    Http->fetch(
        Settings.Address, post(Path, std::move(Body)), Limits,
        [&Deliver = Deliver, Kind, Parse,
         OnDone = std::move(OnDone)](auto Answer) {
          deliver(Deliver, OnDone, outcome<T>(Kind, Parse, Answer));
        },
        Kind == CallKind::Read);
  }

  template <typename T, typename Parser>
  static core::Result<T, StoreError>
  outcome(CallKind Kind, const Parser &Parse,
          const core::Result<http::Response, http::Error> &Answer) {
    if (!Answer)
      return core::failure(toStoreError(Kind, Answer.error()));
    if (auto Error = statusError(Kind, *Answer))
      return core::failure(std::move(*Error));
    try {
      return Parse(Answer->Body);
    } catch (const std::exception &E) {
      return core::failure(malformedAnswer(Kind, E.what()));
    }
  }

  static StoreError conditionOfOtherHistory() {
    return {StoreError::Kind::OtherHistory,
            "the condition is of another history of the service"};
  }

  runtime::Duty &Deliver;
  EtcdSettings Settings;
  std::shared_ptr<SeenHistory> Seen = std::make_shared<SeenHistory>();
  std::unique_ptr<http::Client> Http;
};

} // namespace

std::unique_ptr<KeyValue> createEtcdKeyValue(runtime::Duty &Io,
                                             runtime::Duty &Deliver,
                                             EtcdSettings Settings) {
  return std::make_unique<EtcdKeyValue>(Io, Deliver, std::move(Settings));
}

} // namespace rosemarylane::store
