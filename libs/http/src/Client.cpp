#include "http/Client.h"

#include "Address.h"
#include "ClientConnection.h"
#include "RunOnDuty.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/fields.hpp>
#include <deque>
#include <map>
#include <set>

namespace rosemarylane::http {

namespace beast = boost::beast;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t MaxIdlePerAddress = 64;
/// Shorter than the time after which common servers close idle connections.
constexpr std::chrono::seconds MaxIdleTime{10};
/// A request that may not be sent twice uses only a connection that carried an
/// answer within this time; on an older one it could be lost without a trace.
constexpr std::chrono::seconds MaxIdleTimeUnrepeatable{2};
constexpr unsigned HttpVersion11 = 11;

std::string serialize(const Request &Whole, const std::string &Address) {
  beast::http::request_header<> Head;
  for (const auto &[Name, Value] : Whole.Fields)
    Head.insert(Name, Value);
  Head.version(HttpVersion11);
  Head.method_string(Whole.Method);
  Head.target(Whole.Target);
  if (Head.count(beast::http::field::host) == 0)
    Head.set(beast::http::field::host, Address);
  Head.erase(beast::http::field::transfer_encoding);
  if (!Whole.Body.empty() || (Whole.Method != "GET" && Whole.Method != "HEAD"))
    Head.set(beast::http::field::content_length,
             std::to_string(Whole.Body.size()));
  beast::http::fields::writer Writer(Head, Head.version(), Head.method());
  return beast::buffers_to_string(Writer.get()) + Whole.Body;
}

} // namespace

/// The kept connections and the exchanges in progress. On the duty.
struct Client::State : std::enable_shared_from_this<Client::State> {
  class Exchange;

  explicit State(runtime::Duty &On) : On(On) {}

  std::shared_ptr<ClientConnection> takeIdle(const std::string &Address,
                                             bool Retryable);
  void giveBack(const std::string &Address,
                std::shared_ptr<ClientConnection> Connection);
  void dropIdle(const std::string &Address);
  void shutDown();

  runtime::Duty &On;
  /// Most recently used last.
  std::map<std::string, std::deque<std::shared_ptr<ClientConnection>>> Idle;
  std::set<std::shared_ptr<Exchange>> Active;
  bool Closed = false;
};

/// One request with its attempts: at most a kept connection and then a new one.
class Client::State::Exchange
    : public std::enable_shared_from_this<Client::State::Exchange> {
public:
  Exchange(std::shared_ptr<State> Owner, std::string Address,
           const Request &Whole, Deadlines Limits, Client::Hooks To,
           bool Retryable)
      : Owner(std::move(Owner)), Address(std::move(Address)),
        Bytes(serialize(Whole, this->Address)),
        HeadOnly(Whole.Method == "HEAD"), Limits(Limits), To(std::move(To)),
        Retryable(Retryable), TotalTimer(this->Owner->On.context()) {
    if (Limits.Total)
      Until = steady_clock::now() + *Limits.Total;
  }

  void start() {
    if (Owner->Closed || Ended)
      return;
    Owner->Active.insert(shared_from_this());
    auto Endpoint = parseAddress(Address);
    if (!Endpoint)
      return end(Error{Error::Kind::Address, "not an IP:port: " + Address});
    if (Until && *Until <= steady_clock::now())
      return end(
          Error{Error::Kind::NotSent, "deadline passed before the start"});
    armTotal();
    auto Kept =
        Limits.FreshConnection ? nullptr : Owner->takeIdle(Address, Retryable);
    OnKept = Kept != nullptr;
    run(Kept ? Kept
             : std::make_shared<ClientConnection>(Owner->On.context(),
                                                  *Endpoint));
  }

  void cancel() {
    if (Ended)
      return;
    if (Connection)
      Connection->close();
    end(Error{Error::Kind::Cancelled, "cancelled"});
  }

  /// Closes without a call of any hook.
  void discard() {
    Ended = true;
    if (Connection)
      Connection->close();
    Connection.reset();
    To = {};
  }

private:
  void armTotal() {
    if (!Until)
      return;
    TotalTimer.expires_at(*Until);
    TotalTimer.async_wait([Weak = weak_from_this()](auto Error) {
      auto Self = Weak.lock();
      if (Self && !Error && Self->Connection)
        Self->Connection->expire("deadline of the whole exchange passed");
    });
  }

  void run(std::shared_ptr<ClientConnection> On) {
    Connection = std::move(On);
    ExchangeHooks Hooks;
    Hooks.OnHead = To.OnHead;
    Hooks.OnPart = To.OnPart;
    Hooks.MaxBodyBytes = To.MaxBodyBytes;
    Hooks.OnEnd = [Self = shared_from_this()](ExchangeEnd End) {
      Self->onEnd(std::move(End));
    };
    Connection->run(Bytes, HeadOnly, Limits, Until, std::move(Hooks));
  }

  void onEnd(ExchangeEnd End) {
    if (Ended)
      return;
    if (End.Late)
      Owner->dropIdle(Address);
    if (End.Reusable && !Limits.FreshConnection)
      Owner->giveBack(Address, Connection);
    else
      Connection->close();
    Connection.reset();
    bool Again =
        OnKept && (End.NothingSent || (End.ClosedUnanswered && Retryable));
    if (!End.Failure || !Again)
      return end(std::move(End.Failure));
    OnKept = false;
    run(std::make_shared<ClientConnection>(Owner->On.context(),
                                           *parseAddress(Address)));
  }

  void end(std::optional<Error> Failure) {
    Ended = true;
    TotalTimer.cancel();
    Connection.reset();
    Owner->Active.erase(shared_from_this());
    auto OnDone = std::exchange(To, {}).OnDone;
    if (OnDone)
      OnDone(std::move(Failure));
  }

  std::shared_ptr<State> Owner;
  std::string Address;
  std::string Bytes;
  bool HeadOnly;
  Deadlines Limits;
  Client::Hooks To;
  bool Retryable;
  /// When the whole exchange has to end.
  std::optional<steady_clock::time_point> Until;
  boost::asio::steady_timer TotalTimer;
  bool OnKept = false;
  bool Ended = false;
  std::shared_ptr<ClientConnection> Connection;
};

std::shared_ptr<ClientConnection>
Client::State::takeIdle(const std::string &Address, bool Retryable) {
  auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return nullptr;
  auto Limit = Retryable ? MaxIdleTime : MaxIdleTimeUnrepeatable;
  auto &Kept = Found->second;
  if (Kept.empty() || steady_clock::now() - Kept.back()->keptSince() > Limit)
    return nullptr;
  auto Taken = std::move(Kept.back());
  Kept.pop_back();
  return Taken;
}

void Client::State::giveBack(const std::string &Address,
                             std::shared_ptr<ClientConnection> Connection) {
  auto &Kept = Idle[Address];
  auto Now = steady_clock::now();
  while (!Kept.empty() && (Now - Kept.front()->keptSince() > MaxIdleTime ||
                           Kept.size() >= MaxIdlePerAddress)) {
    Kept.front()->close();
    Kept.pop_front();
  }
  Connection->keep([Weak = weak_from_this(), Address, Raw = Connection.get()] {
    auto Self = Weak.lock();
    if (!Self)
      return;
    auto Found = Self->Idle.find(Address);
    if (Found == Self->Idle.end())
      return;
    std::erase_if(Found->second,
                  [Raw](const auto &Kept) { return Kept.get() == Raw; });
    if (Found->second.empty())
      Self->Idle.erase(Found);
  });
  Kept.push_back(std::move(Connection));
}

void Client::State::dropIdle(const std::string &Address) {
  auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return;
  for (const auto &Connection : Found->second)
    Connection->close();
  Idle.erase(Found);
}

void Client::State::shutDown() {
  Closed = true;
  for (auto &[Address, Kept] : Idle)
    for (const auto &Connection : Kept)
      Connection->close();
  Idle.clear();
  for (const auto &Exchange : std::exchange(Active, {}))
    Exchange->discard();
}

namespace {

/// Cancels from any thread.
class CallHandle : public Client::Call {
public:
  CallHandle(runtime::Duty &On, std::weak_ptr<Client::State::Exchange> Running)
      : On(On), Running(std::move(Running)) {}

  void cancel() override {
    On.postAlways([Running = Running] {
      if (auto Exchange = Running.lock())
        Exchange->cancel();
    });
  }

private:
  runtime::Duty &On;
  std::weak_ptr<Client::State::Exchange> Running;
};

} // namespace

std::unique_ptr<Client> Client::create(runtime::Duty &On) {
  return std::unique_ptr<Client>(new Client(std::make_shared<State>(On)));
}

Client::Client(std::shared_ptr<State> S) : S(std::move(S)) {}

Client::~Client() {
  runOnDuty(S->On, [this] { S->shutDown(); });
}

void Client::dropIdle(const std::string &Address) {
  S->On.postAlways([S = S, Address] { S->dropIdle(Address); });
}

std::shared_ptr<Client::Call> Client::stream(const std::string &Address,
                                             Request Whole, Deadlines Limits,
                                             Hooks To, bool Retryable) {
  auto Exchange = std::make_shared<State::Exchange>(S, Address, Whole, Limits,
                                                    std::move(To), Retryable);
  S->On.postAlways([Exchange] { Exchange->start(); });
  return std::make_shared<CallHandle>(S->On, Exchange);
}

std::shared_ptr<Client::Call> Client::fetch(const std::string &Address,
                                            Request Whole, Deadlines Limits,
                                            WholeHook OnDone, bool Retryable,
                                            std::uint64_t MaxBodyBytes) {
  auto Answer = std::make_shared<Response>();
  Hooks To;
  To.MaxBodyBytes = MaxBodyBytes;
  To.OnHead = [Answer](const ResponseHead &Head) { Answer->Head = Head; };
  To.OnPart = [Answer](std::string Part) {
    if (Answer->Body.empty())
      Answer->Body = std::move(Part);
    else
      Answer->Body += Part;
  };
  To.OnDone = [Answer, OnDone = std::move(OnDone)](std::optional<Error> E) {
    if (E)
      OnDone(core::failure(std::move(*E)));
    else
      OnDone(std::move(*Answer));
  };
  return stream(Address, std::move(Whole), Limits, std::move(To), Retryable);
}

} // namespace rosemarylane::http
