#include "platform/EtcdKeyValue.h"

#include "EtcdJson.h"
#include "StoreErrors.h"
#include "http/Client.h"

namespace rosemarylane::platform {

namespace {

/// Longest line of a watch's answer: a value of a megabyte in base64, several
/// in one notice.
constexpr std::size_t MaxWatchLineBytes = 16 << 20;

http::Request post(const char *Path, std::string Body) {
  return {
      "POST", Path, {{"Content-Type", "application/json"}}, std::move(Body)};
}

/// The state of one watch; expires with its handle, and then calls no hook.
struct WatchState {
  std::function<void(StoredValue)> OnChange;
  std::function<void(StoreError)> OnLost;
  std::string Line;
  bool Lost = false;
  std::shared_ptr<http::Client::Call> Running;

  void lose(StoreError Why) {
    if (std::exchange(Lost, true))
      return;
    auto Hook = std::move(OnLost);
    Hook(std::move(Why));
  }
};

/// Ends the exchange when dropped.
class EtcdWatch : public KeyValue::Watch {
public:
  explicit EtcdWatch(std::shared_ptr<WatchState> State)
      : State(std::move(State)) {}
  ~EtcdWatch() override { State->Running->cancel(); }

private:
  std::shared_ptr<WatchState> State;
};

/// Handles one line of the answer.
/// @return false when the watch has ended.
bool takeLine(WatchState &Watch, std::string_view Line) {
  if (Line.empty())
    return true;
  try {
    auto Message = etcd_json::parseWatch(Line);
    for (StoredValue &Change : Message.Changes)
      Watch.OnChange(std::move(Change));
    if (!Message.Cancelled)
      return true;
    Watch.lose({StoreError::Kind::Rejected, Message.Reason});
  } catch (const std::exception &E) {
    Watch.lose(malformedAnswer(CallKind::Read, E.what()));
  }
  return false;
}

void takePart(const std::weak_ptr<WatchState> &Weak, std::string_view Part) {
  if (auto Watch = Weak.lock())
    Watch->Line += Part;
  // A hook may drop the watch between two lines.
  while (auto Watch = Weak.lock()) {
    if (Watch->Lost)
      return;
    auto End = Watch->Line.find('\n');
    if (End == std::string::npos) {
      if (Watch->Line.size() > MaxWatchLineBytes)
        Watch->lose(malformedAnswer(CallKind::Read, "line too long"));
      return;
    }
    std::string Line = Watch->Line.substr(0, End);
    Watch->Line.erase(0, End + 1);
    if (!takeLine(*Watch, Line))
      return;
  }
}

class EtcdKeyValue : public KeyValue {
public:
  EtcdKeyValue(runtime::Duty &On, EtcdSettings Settings)
      : Settings(std::move(Settings)), Http(http::Client::create(On)) {}

  void read(const std::string &Key, Hook<StoredValue> OnDone) override {
    auto Parse = [](const std::string &Body) {
      return etcd_json::parseRange(Body);
    };
    call<StoredValue>(CallKind::Read, "/v3/kv/range",
                      etcd_json::rangeRequest(Key), Parse, std::move(OnDone));
  }

  void compareAndSwap(const std::string &Key, std::int64_t Expected,
                      std::string Value, Hook<SwapOutcome> OnDone) override {
    std::string Body = etcd_json::swapRequest(Key, Expected, Value);
    auto Parse = [Value = std::move(Value)](const std::string &Answer) {
      return etcd_json::parseSwap(Answer, Value);
    };
    call<SwapOutcome>(CallKind::Write, "/v3/kv/txn", std::move(Body), Parse,
                      std::move(OnDone));
  }

  std::unique_ptr<Watch>
  watch(const std::string &Key, std::int64_t FromRevision,
        std::function<void(StoredValue)> OnChange,
        std::function<void(StoreError)> OnLost) override {
    auto State = std::make_shared<WatchState>();
    State->OnChange = std::move(OnChange);
    State->OnLost = std::move(OnLost);
    std::weak_ptr<WatchState> Weak = State;
    http::Client::Hooks Hooks;
    auto Refused = std::make_shared<bool>(false);
    Hooks.OnHead = [Weak, Refused](const http::ResponseHead &Head) {
      auto Error = statusError(CallKind::Read, {Head, {}});
      *Refused = Error.has_value();
      if (auto Watch = Weak.lock(); Watch && Error)
        Watch->lose(std::move(*Error));
    };
    Hooks.OnPart = [Weak, Refused](const std::string &Part) {
      if (!*Refused)
        takePart(Weak, Part);
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
    State->Running = Http->stream(
        Settings.Address,
        post("/v3/watch", etcd_json::watchRequest(Key, FromRevision)), Limits,
        std::move(Hooks), true);
    return std::make_unique<EtcdWatch>(std::move(State));
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
        [Kind, Parse, OnDone = std::move(OnDone)](auto Answer) {
          OnDone(outcome<T>(Kind, Parse, Answer));
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

  EtcdSettings Settings;
  std::unique_ptr<http::Client> Http;
};

} // namespace

std::unique_ptr<KeyValue> createEtcdKeyValue(runtime::Duty &On,
                                             EtcdSettings Settings) {
  return std::make_unique<EtcdKeyValue>(On, std::move(Settings));
}

} // namespace rosemarylane::platform
