#include "sidecar/TargetLoader.h"

#include "platform/TargetCalls.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using serving::LoadProof;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds TargetCallTimeout{700};
/// Limit of the size of the target's response to a staged chunk or an order.
constexpr std::size_t MaxTargetResponseBytes = 64 << 10;
constexpr milliseconds StatePollPeriod{50};
/// Time for which the target's state is polled after a load order before
/// another order may be sent.
constexpr milliseconds OrderConfirmationTimeout{600};

std::int64_t inMilliseconds(BootTime::duration Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

std::int64_t millisecondsBetween(BootTime From, BootTime To) {
  return inMilliseconds(To - From);
}

/// @return the version of \p Model that is loaded; 0 for none.
std::uint64_t loadedIn(const platform::TargetState &State,
                       const std::string &Model) {
  for (const serving::LoadedModel &M : State.Models)
    if (M.Model == Model)
      return M.Version;
  return 0;
}

/// An error of the server says nothing of whether the order was accepted.
LoadProof::Answer
answerKind(const core::Result<http::Response, http::Error> &Reply) {
  if (!Reply || Reply->Head.Status >= 500)
    return LoadProof::Answer::None;
  return platform::decodeOrder(*Reply) == platform::OrderAnswer::Begun
             ? LoadProof::Answer::Begun
             : LoadProof::Answer::Refused;
}

} // namespace

std::uint64_t TargetLoader::loadedVersion() const {
  return Watch.state() ? loadedIn(*Watch.state(), Served.model()) : 0;
}

void TargetLoader::observe(const platform::TargetState &State, BootTime From) {
  if (std::exchange(ProvenModel, Served.model()) != Served.model())
    Proof = LoadProof();
  bool Doubted = Proof.step() != LoadProof::Step::None;
  auto Before = Proof.last();
  Proof.observe(
      {State.Born, State.Orders, State.Busy, loadedIn(State, Served.model())},
      From, BootClock::now());
  if (Before && Before->Accepted != Proof.last()->Accepted)
    telemetry::log(
        telemetry::Level::Info, "order begun",
        {{"orders", State.Orders}, {"busy", std::int64_t(State.Busy)}});
  if (!Doubted && Proof.step() != LoadProof::Step::None)
    telemetry::log(
        telemetry::Level::Warning, "load not proven",
        {{"model", Served.model()},
         {"version", std::int64_t(Proof.last()->Loaded)},
         {"orders", State.Orders},
         {"asks", std::int64_t(Proof.seeksVerdict())},
         {"next",
          Proof.step() == LoadProof::Step::ReadBack ? "read back" : "unload"}});
  applyProof();
}

void TargetLoader::takeVerdict(const serving::LoadVerdict &Given) {
  if (!Proof.takeVerdict(Given))
    return;
  telemetry::log(telemetry::Level::Info, "load verdict passed on",
                 {{"model", Served.model()},
                  {"version", std::int64_t(Given.Version)},
                  {"orders", Given.Orders},
                  {"whole", std::int64_t(Given.Whole)}});
  applyProof();
}

void TargetLoader::applyProof() {
  TargetWatch::LoadStatement Found;
  Found.Switching = !Proof.isProven();
  Found.Verdict = Proof.verdict();
  if (Proof.seeksVerdict())
    Found.VerdictSought = Proof.last()->Accepted;
  Watch.setLoadStatement(Found);
}

asio::awaitable<void> TargetLoader::readStagedChunks(VersionChunks &Chunks) {
  for (std::size_t I = 0; I < Chunks.size(); ++I) {
    HttpClient::Call Call;
    Call.Request = platform::stagedChunkRequest(Served.model(), I);
    Call.Timeout = TargetCallTimeout;
    Call.MaxBodyBytes = MaxChunkBytes;
    auto Reply =
        co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
    if (!Reply || Reply->Head.Status == 404)
      co_return;
    if (Reply->Head.Status == 200)
      Chunks.store(I, std::move(Reply->Body));
  }
}

asio::awaitable<void> TargetLoader::proveLoad(const VersionChunks &Chunks) {
  LoadProof::TargetOrders Judged = *Proof.last();
  auto Found = LoadProof::ReadBack::Whole;
  std::size_t Read = 0;
  for (; Read < Chunks.size() && Found == LoadProof::ReadBack::Whole; ++Read) {
    HttpClient::Call Call;
    Call.Request = platform::stagedChunkRequest(Served.model(), Read);
    Call.Timeout = TargetCallTimeout;
    Call.MaxBodyBytes = MaxChunkBytes;
    auto Reply =
        co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
    bool Missing = Reply && Reply->Head.Status == 404;
    if (!Missing && (!Reply || Reply->Head.Status != 200))
      co_return Proof.recordReadBack(LoadProof::ReadBack::Failed, Judged);
    if (Missing || !Chunks.matches(Read, Reply->Body))
      Found = LoadProof::ReadBack::Spoilt;
  }
  Proof.recordReadBack(Found, Judged);
  telemetry::log(
      telemetry::Level::Info, "load read back",
      {{"model", Served.model()},
       {"version", std::int64_t(Judged.Loaded)},
       {"chunks", std::int64_t(Read)},
       {"whole", std::int64_t(Found == LoadProof::ReadBack::Whole)}});
  applyProof();
}

asio::awaitable<void> TargetLoader::unload() {
  platform::LoadOrder Order;
  Order.Model = Served.model();
  Order.Version = Proof.last()->Loaded;
  Order.AfterOrders = Proof.last()->Accepted;
  Order.FencingToken = Order.Version;
  Order.Layers = 0;
  std::function<bool()> MaySend = [this] {
    Proof.orderSent(0, BootClock::now(), BootClock::now());
    return true;
  };
  OrderOutcome Outcome = co_await sendOrder(Order, std::move(MaySend));
  telemetry::log(telemetry::Level::Warning, "unload ordered",
                 {{"model", Order.Model},
                  {"version", std::int64_t(Order.Version)},
                  {"after_orders", Order.AfterOrders},
                  {"outcome", Outcome.Text}});
  if (Outcome.Sent)
    co_await awaitLoadedVersion(0);
}

asio::awaitable<bool> TargetLoader::stageChunk(const VersionChunks &Chunks,
                                               std::size_t Index,
                                               StagingTimes &Times) {
  HttpClient::Call Call;
  Call.Request =
      platform::stageRequest(Served.model(), Index, Chunks.bytes(Index));
  Call.Timeout = TargetCallTimeout;
  Call.MaxBodyBytes = MaxTargetResponseBytes;
  BootTime From = BootClock::now();
  auto Reply = co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
  BootTime Now = BootClock::now();
  Times.LongestCall = std::max(Times.LongestCall, Now - From);
  Proof.recordWrite(Now);
  bool Written = Reply && Reply->Head.Status < 300;
  if (Written)
    Written = co_await isStaged(Chunks, Index);
  if (Written)
    Staged.recordWrite(Index, From);
  else
    telemetry::log(telemetry::Level::Warning, "chunk not staged",
                   {{"version", std::int64_t(Chunks.manifest().Version)},
                    {"chunk", std::int64_t(Index)},
                    {"status", Reply ? std::int64_t(Reply->Head.Status)
                                     : std::int64_t(0)}});
  co_return Written;
}

asio::awaitable<bool> TargetLoader::isStaged(const VersionChunks &Chunks,
                                             std::size_t Index) {
  HttpClient::Call Call;
  Call.Request = platform::stagedChunkRequest(Served.model(), Index);
  Call.Timeout = TargetCallTimeout;
  Call.MaxBodyBytes = MaxChunkBytes;
  auto Reply = co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
  co_return Reply && Reply->Head.Status == 200 &&
      Chunks.matches(Index, Reply->Body);
}

asio::awaitable<void> TargetLoader::stageAndLoad(VersionChunks &Chunks,
                                                 PlannedHook StillPlanned) {
  LoadProof::TargetOrders Seen = *Proof.last();
  std::uint64_t Version = Chunks.manifest().Version;
  StagingTimes Times{BootClock::now()};
  if (!mayOrderAgain(Version)) {
    Staged.begin(Chunks.size());
    StagedVersion = Version;
    while (auto Next = Staged.nextWrite(BootClock::now())) {
      bool Written = co_await stageChunk(Chunks, *Next, Times);
      if (!Written || !unchangedSince(Seen))
        co_return;
    }
  }
  co_await orderLoad(Version, Times, std::move(StillPlanned));
}

bool TargetLoader::unchangedSince(const LoadProof::TargetOrders &Seen) const {
  return Watch.state() && *Proof.last() == Seen;
}

asio::awaitable<void> TargetLoader::orderLoad(std::uint64_t Version,
                                              StagingTimes Times,
                                              PlannedHook StillPlanned) {
  platform::LoadOrder Order;
  Order.Model = Served.model();
  Order.Version = Version;
  // The target refuses the order if another one began since its state was
  // read, and, where it enforces fencing, if it has seen a higher token. A
  // newer version thus prevails over an older one.
  Order.AfterOrders = Proof.last()->Accepted;
  Order.FencingToken = Version;
  BootTime OldestWrite = Staged.oldestWrite();
  BootTime OrderedAt = BootClock::now();
  std::function<bool()> MaySend = [&] {
    OrderedAt = BootClock::now();
    bool IsFresh = mayOrderAgain(Version) || Staged.mayOrder(OrderedAt);
    if (!IsFresh || !StillPlanned())
      return false;
    Proof.orderSent(Version, OldestWrite, OrderedAt);
    return true;
  };
  OrderOutcome Outcome = co_await sendOrder(Order, std::move(MaySend));
  telemetry::log(
      telemetry::Level::Info, "load ordered",
      {{"model", Served.model()},
       {"version", std::int64_t(Version)},
       {"after_orders", Order.AfterOrders},
       {"staging_ms", millisecondsBetween(Times.From, OrderedAt)},
       {"oldest_chunk_ms", millisecondsBetween(OldestWrite, OrderedAt)},
       {"longest_call_ms", inMilliseconds(Times.LongestCall)},
       {"outcome", Outcome.Text}});
  if (!Outcome.Sent)
    co_return;
  co_await awaitLoadedVersion(Version);
  if (loadedVersion() == Version)
    telemetry::log(telemetry::Level::Info, "version loaded",
                   {{"model", Served.model()},
                    {"version", std::int64_t(Version)},
                    {"ms", millisecondsBetween(OrderedAt, BootClock::now())}});
}

asio::awaitable<TargetLoader::OrderOutcome>
TargetLoader::sendOrder(platform::LoadOrder Order,
                        std::function<bool()> MaySend) {
  LoadProof::TargetOrders Seen = *Proof.last();
  bool Sent = false;
  HttpClient::Call Call;
  Call.Request = platform::orderRequest(Order);
  Call.Timeout = TargetCallTimeout;
  Call.MaxBodyBytes = MaxTargetResponseBytes;
  Call.NewConnection = true;
  Call.BeforeSend = [&] {
    Sent = unchangedSince(Seen) && MaySend();
    applyProof();
    return Sent;
  };
  auto Reply = co_await Calls.exchange(Settings.TargetAddress, std::move(Call));
  if (Sent)
    Proof.orderAnswered(answerKind(Reply), BootClock::now());
  applyProof();
  OrderOutcome Outcome{Sent, Sent ? "no answer" : "not sent"};
  if (Reply)
    Outcome.Text = "status " + std::to_string(Reply->Head.Status);
  co_return Outcome;
}

asio::awaitable<void> TargetLoader::awaitLoadedVersion(std::uint64_t Version) {
  asio::steady_timer Timer(Loop);
  BootTime WaitUntil = BootClock::now() + OrderConfirmationTimeout;
  while (BootClock::now() < WaitUntil && loadedVersion() != Version) {
    Timer.expires_after(StatePollPeriod);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

} // namespace rosemarylane
