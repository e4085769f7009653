#include "agent/Gate.h"
#include "common/AttemptIdGenerator.h"
#include "http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <map>

using namespace rosemarylane;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 5s;
constexpr char Model[] = "model";
constexpr std::uint64_t Generation = 3;

core::Digest version() { return core::Digest::of("version"); }

/// @return a loopback address that was free a moment ago.
std::string freeAddress() {
  using boost::asio::ip::tcp;
  boost::asio::io_context Context;
  tcp::acceptor Probe(
      Context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return "127.0.0.1:" + std::to_string(Probe.local_endpoint().port());
}

/// One model, of which the engine takes one request at a time.
class OneModel final : public ConfigurationService {
public:
  OneModel() {
    auto Config = std::make_shared<core::Configuration>();
    core::CatalogueEntry Only;
    Only.Name = core::EntryName(Model);
    Only.Kind = core::TargetKind::Engine;
    Only.Limit.Concurrency = 1;
    Config->Entries.push_back(Only);
    Current = std::move(Config);
  }
  std::shared_ptr<const core::Configuration> current() const override {
    return Current;
  }
  void onChange(ChangeHook) override {}
  void setLiveEntries(std::vector<core::HostId>) override {}
  void receive(const wire::Peer &, const wire::Envelope &) override {}
  void applyIfNewer(std::shared_ptr<const core::Configuration>) override {}

private:
  std::shared_ptr<const core::Configuration> Current;
};

/// Tells nobody, and suspects no request.
class NoHeartbeats final : public HeartbeatService {
public:
  void receive(const wire::Peer &, const wire::Envelope &) override {}
  void sendNow() override {}
  const std::vector<wire::MemberSummary> &agents() const override {
    return None;
  }
  void onAgents(std::function<void()>) override {}
  wire::QuarantineNotice reportSuspects(std::vector<core::Digest>) override {
    return {};
  }
  bool quarantined(const core::Digest &) const override { return false; }
  bool suspected(const core::Digest &) const override { return false; }
  void acquit(const core::Digest &) override {}
  void startDraining() override {}

private:
  std::vector<wire::MemberSummary> None;
};

/// The engine holds the model all the time.
class LoadedModel final : public WeightService {
public:
  void receive(const wire::Peer &, const wire::Envelope &) override {}
  const std::vector<ServedVersion> &served() const override { return Served; }
  void onServed(std::function<void()>) override {}
  void
  onReplace(std::function<void(const core::EntryName &, std::function<void()>)>)
      override {}
  bool engineCold() const override { return false; }
  std::vector<wire::Holding> holdings() const override {
    return std::vector<wire::Holding>(1);
  }
  void engineChanged() override {}

private:
  std::vector<ServedVersion> Served{
      {core::EntryName(Model), version(), Generation}};
};

/// The gate of an engine that answers when the test says so, and an entry that
/// is told of refusals.
class Fixture {
public:
  Fixture() {
    Context->Incarnation = 1;
    Context->StartedAt = std::chrono::steady_clock::now();
    Context->Config.Host = core::HostId("agent");
    Context->Config.FailureDomain = core::FailureDomainId("domain");
    Context->Config.PeerAddress = freeAddress();
    Context->Timers = runtime::TimerService::start();
    Context->Control = runtime::Duty::start("control", 64, nullptr);
    Context->HttpCalling = runtime::Duty::start("calls", 64, nullptr);
    Context->Tracer =
        telemetry::Tracer::start("agent", "agent", [](std::string) {});
    Context->Http = http::Client::create(*Context->HttpCalling);
    startEngine();
    startPeers();
    onControl([this] {
      Gated = Gate::create(*Context, Send, Configuration, Heartbeats, &Weights);
    });
  }

  ~Fixture() {
    // As in an agent: nothing runs on the control duty any more.
    Context->Control->stop();
    Gated.reset();
    Context->Peers.reset();
    Entry.reset();
    Calls.clear();
    Engine.reset();
  }

  /// Sends one request.
  /// @return its refusal, if it is ever refused.
  std::future<wire::RunRefusal> send() {
    wire::Envelope Message;
    wire::RunRequest &Request = *Message.mutable_run_request();
    Request.mutable_id()->set_request(Ids.next());
    Request.mutable_id()->set_attempt(1);
    Request.set_agent_incarnation(Context->Incarnation);
    Request.set_entry(Model);
    Request.set_version(std::string(version().bytes()));
    Request.set_method("POST");
    Request.set_target("/");
    Request.set_idempotent(true);
    Request.set_deadline_ms(60000);
    std::future<wire::RunRefusal> Refusal;
    onControl([&] {
      Refusal = Refusals[Request.id().request()].get_future();
      Gated->receive(wire::Peer::at(EntryAddress), Message);
    });
    return Refusal;
  }

  /// Waits until the engine has got \p Count requests since the start.
  bool engineHas(std::size_t Count) {
    auto Until = std::chrono::steady_clock::now() + Patience;
    while (std::chrono::steady_clock::now() < Until) {
      if (engineRequests() == Count)
        return true;
      std::this_thread::sleep_for(5ms);
    }
    return false;
  }

  std::size_t engineRequests() {
    std::lock_guard<std::mutex> Lock(CallsMutex);
    return Calls.size();
  }

  /// The engine turns its last request away.
  void refuseLast(const std::string &RetryAfter) {
    std::lock_guard<std::mutex> Lock(CallsMutex);
    http::Response Refusal = http::jsonResponse(503, "{}");
    Refusal.Head.Fields.set("Retry-After", RetryAfter);
    Calls.back()->respond(std::move(Refusal));
  }

  wire::Holding holding() {
    wire::Holding Result;
    onControl([&] { Result = Gated->holdings().at(0); });
    return Result;
  }

private:
  void startEngine() {
    auto Listening =
        http::Server::listen(*Context->HttpCalling, {.Address = "127.0.0.1:0"},
                             [this](std::shared_ptr<http::Exchange> Call) {
                               std::lock_guard<std::mutex> Lock(CallsMutex);
                               Calls.push_back(std::move(Call));
                             });
    BOOST_REQUIRE(Listening);
    Engine = std::move(*Listening);
    Context->Config.Target.Kind = core::TargetKind::Engine;
    Context->Config.Target.Address =
        "127.0.0.1:" + std::to_string(Engine->port());
  }

  void startPeers() {
    wire::PeerSettings Own;
    Own.Listen = Context->Config.PeerAddress;
    auto Node = wire::PeerNode::start(
        Own, *Context->Control,
        [](const wire::Peer &, const wire::Envelope &) {});
    BOOST_REQUIRE(Node);
    Context->Peers = std::move(*Node);
    wire::PeerSettings Others;
    Others.Listen = EntryAddress;
    auto Told = wire::PeerNode::start(
        Others, *Context->Control,
        [this](const wire::Peer &, const wire::Envelope &Message) {
          if (Message.has_run_refusal())
            Refusals[Message.run_refusal().id().request()].set_value(
                Message.run_refusal());
        });
    BOOST_REQUIRE(Told);
    Entry = std::move(*Told);
  }

  /// Runs \p Work on the control duty and waits for its end.
  void onControl(const std::function<void()> &Work) {
    std::promise<void> Done;
    Context->Control->postAlways([&] {
      Work();
      Done.set_value();
    });
    Done.get_future().wait();
  }

  std::unique_ptr<ProcessContext> Context = std::make_unique<ProcessContext>();
  MessageSender Send{*Context, wire::ROLE_AGENT};
  OneModel Configuration;
  NoHeartbeats Heartbeats;
  LoadedModel Weights;
  AttemptIdGenerator Ids;
  std::string EntryAddress = freeAddress();
  /// By request id. On the control duty.
  std::map<std::string, std::promise<wire::RunRefusal>> Refusals;
  std::mutex CallsMutex;
  std::vector<std::shared_ptr<http::Exchange>> Calls;
  std::unique_ptr<http::Server> Engine;
  std::unique_ptr<wire::PeerNode> Entry;
  std::unique_ptr<Gate> Gated;
};

void checkRefused(std::future<wire::RunRefusal> Refusal,
                  std::uint32_t MinRetryAfterMs) {
  BOOST_REQUIRE(Refusal.wait_for(Patience) == std::future_status::ready);
  wire::RunRefusal Told = Refusal.get();
  BOOST_TEST(Told.reason() == wire::REFUSAL_BUSY);
  BOOST_TEST(Told.ran() == wire::RAN_NO);
  BOOST_TEST(Told.retry_after_ms() >= MinRetryAfterMs);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(gate_pause, Fixture)

BOOST_AUTO_TEST_CASE(engine_that_names_a_time_is_sent_nothing_meanwhile) {
  // Sixty seconds, less what the test itself may take.
  constexpr std::uint32_t MinRetryAfterMs = 50000;
  auto Running = send();
  BOOST_REQUIRE(engineHas(1));
  auto Waiting = send();
  auto AlsoWaiting = send();
  refuseLast("60");
  checkRefused(std::move(Running), MinRetryAfterMs);
  // They would wait in vain.
  checkRefused(std::move(Waiting), MinRetryAfterMs);
  checkRefused(std::move(AlsoWaiting), MinRetryAfterMs);
  checkRefused(send(), MinRetryAfterMs);
  std::this_thread::sleep_for(100ms);
  BOOST_TEST(engineRequests() == 1u);
  wire::Holding Told = holding();
  BOOST_TEST(Told.credits() == 0u);
}

BOOST_AUTO_TEST_CASE(engine_is_used_again_when_its_time_is_over) {
  auto Running = send();
  BOOST_REQUIRE(engineHas(1));
  refuseLast("1");
  checkRefused(std::move(Running), 1);
  checkRefused(send(), 1);
  std::this_thread::sleep_for(1100ms);
  auto Later = send();
  BOOST_TEST(engineHas(2));
  BOOST_TEST(holding().credits() == 0u);
  refuseLast("0");
  checkRefused(std::move(Later), 1);
  BOOST_TEST(holding().credits() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
