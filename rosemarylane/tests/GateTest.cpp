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
/// Far longer than the patience.
constexpr auto WaitAtMost = 60s;
constexpr char Service[] = "orders";

/// @return a loopback address that was free a moment ago.
std::string freeAddress() {
  using boost::asio::ip::tcp;
  boost::asio::io_context Context;
  tcp::acceptor Probe(
      Context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return "127.0.0.1:" + std::to_string(Probe.local_endpoint().port());
}

/// Holds the configuration that a test puts in force.
class FixedConfiguration final : public ConfigurationService {
public:
  std::shared_ptr<const core::Configuration> current() const override {
    return Current;
  }
  void onChange(ChangeHook Hook) override { Hooks.push_back(std::move(Hook)); }
  void setLiveEntries(std::vector<core::HostId>) override {}
  void receive(const wire::Peer &, const wire::Envelope &) override {}
  void applyIfNewer(std::shared_ptr<const core::Configuration> Newer) override {
    Current = std::move(Newer);
    for (const ChangeHook &Hook : Hooks)
      Hook(Current);
  }

private:
  std::shared_ptr<const core::Configuration> Current =
      std::make_shared<core::Configuration>();
  std::vector<ChangeHook> Hooks;
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

/// The gate of a plain service that runs one request at a time and never
/// answers, and an entry that is told of refusals.
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
    startTarget();
    startPeers();
    applyConfiguration({});
    onControl([this] {
      Gated = Gate::create(*Context, Send, Configuration, Heartbeats, nullptr);
    });
  }

  ~Fixture() {
    // As in an agent: nothing runs on the control duty any more.
    Context->Control->stop();
    Gated.reset();
    Context->Peers.reset();
    Entry.reset();
    Calls.clear();
    Target.reset();
  }

  /// Sends one request.
  /// @return its refusal, if it is ever refused.
  std::future<wire::RunRefusal> send() {
    wire::Envelope Message;
    wire::RunRequest &Request = *Message.mutable_run_request();
    Request.mutable_id()->set_request(Ids.next());
    Request.mutable_id()->set_attempt(1);
    Request.set_agent_incarnation(Context->Incarnation);
    Request.set_entry(Service);
    Request.set_method("POST");
    Request.set_target("/");
    Request.set_idempotent(true);
    Request.set_deadline_ms(
        std::chrono::duration_cast<std::chrono::milliseconds>(WaitAtMost)
            .count());
    std::future<wire::RunRefusal> Refusal;
    onControl([&] {
      Refusal = Refusals[Request.id().request()].get_future();
      Gated->receive(wire::Peer::at(EntryAddress), Message);
    });
    return Refusal;
  }

  void applyConfiguration(std::set<core::FailureDomainId> OutOfService) {
    auto Config = std::make_shared<core::Configuration>();
    core::CatalogueEntry Only;
    Only.Name = core::EntryName(Service);
    Only.Kind = core::TargetKind::Service;
    Only.Limit.Concurrency = 1;
    Config->Entries.push_back(Only);
    Config->OutOfServiceFailureDomains = std::move(OutOfService);
    onControl([&] { Configuration.applyIfNewer(Config); });
  }

  void drain(std::function<void()> Idle) {
    onControl([&] { Gated->drain(std::move(Idle)); });
  }

  std::size_t inProgress() {
    std::size_t Count = 0;
    onControl([&] { Count = Gated->inProgress(); });
    return Count;
  }

private:
  void startTarget() {
    auto Listening =
        http::Server::listen(*Context->HttpCalling, {.Address = "127.0.0.1:0"},
                             [this](std::shared_ptr<http::Exchange> Call) {
                               Calls.push_back(std::move(Call));
                             });
    BOOST_REQUIRE(Listening);
    Target = std::move(*Listening);
    Context->Config.Target.Kind = core::TargetKind::Service;
    Context->Config.Target.Serves = core::EntryName(Service);
    Context->Config.Target.Address =
        "127.0.0.1:" + std::to_string(Target->port());
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
  FixedConfiguration Configuration;
  NoHeartbeats Heartbeats;
  AttemptIdGenerator Ids;
  std::string EntryAddress = freeAddress();
  /// By request id. On the control duty.
  std::map<std::string, std::promise<wire::RunRefusal>> Refusals;
  std::vector<std::shared_ptr<http::Exchange>> Calls;
  std::unique_ptr<http::Server> Target;
  std::unique_ptr<wire::PeerNode> Entry;
  std::unique_ptr<Gate> Gated;
};

void checkHandedBack(std::future<wire::RunRefusal> &Refusal) {
  BOOST_REQUIRE(Refusal.wait_for(Patience) == std::future_status::ready);
  wire::RunRefusal Told = Refusal.get();
  BOOST_TEST(Told.reason() == wire::REFUSAL_OUT_OF_SERVICE);
  BOOST_TEST(Told.ran() == wire::RAN_NO);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(gate, Fixture)

BOOST_AUTO_TEST_CASE(waiting_requests_are_handed_back_when_out_of_service) {
  auto Running = send();
  auto Waiting = send();
  auto AlsoWaiting = send();
  BOOST_TEST(inProgress() == 3u);
  applyConfiguration({core::FailureDomainId("domain")});
  checkHandedBack(Waiting);
  checkHandedBack(AlsoWaiting);
  BOOST_TEST(inProgress() == 1u);
  BOOST_TEST((Running.wait_for(0s) == std::future_status::timeout));
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_handed_back_on_a_drain) {
  auto Running = send();
  auto Waiting = send();
  auto AlsoWaiting = send();
  bool Idle = false;
  drain([&] { Idle = true; });
  checkHandedBack(Waiting);
  checkHandedBack(AlsoWaiting);
  BOOST_TEST(inProgress() == 1u);
  BOOST_TEST(!Idle);
  BOOST_TEST((Running.wait_for(0s) == std::future_status::timeout));
}

BOOST_AUTO_TEST_SUITE_END()
