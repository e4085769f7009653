#ifndef ROSEMARYLANE_TESTS_GATE_FIXTURE_H
#define ROSEMARYLANE_TESTS_GATE_FIXTURE_H

#include "agent/Gate.h"
#include "common/AttemptIdGenerator.h"
#include "http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace rosemarylane {

/// @return a loopback address that was free a moment ago.
inline std::string freeAddress() {
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
  void onStoreBehind(std::function<void()>) override {}
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

/// The gate of a target that runs one request at a time and answers only when
/// the test says so, and an entry that is told of refusals.
class GateFixture {
public:
  /// How long the tests wait for what is to happen.
  static constexpr std::chrono::seconds Patience{5};

protected:
  /// @param Name what the target serves.
  /// @param Weights null for a plain service.
  explicit GateFixture(std::string Name,
                       std::unique_ptr<WeightService> Weights = nullptr)
      : Served(std::move(Name)), Weights(std::move(Weights)) {
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
      Gated = Gate::create(*Context, Send, Configuration, Heartbeats,
                           this->Weights.get());
    });
  }

  ~GateFixture() {
    // As in an agent: nothing runs on the control duty any more.
    Context->Control->stop();
    Gated.reset();
    Context->Peers.reset();
    Entry.reset();
    Calls.clear();
    Target.reset();
  }

  /// Sends one request.
  /// @param Version version that the target must hold; empty for a plain
  /// service.
  /// @return its refusal, if it is ever refused.
  std::future<wire::RunRefusal> sendFor(const std::string &Version) {
    wire::Envelope Message;
    wire::RunRequest &Request = *Message.mutable_run_request();
    Request.mutable_id()->set_request(Ids.next());
    Request.mutable_id()->set_attempt(1);
    Request.set_agent_incarnation(Context->Incarnation);
    Request.set_entry(Served);
    Request.set_version(Version);
    Request.set_method("POST");
    Request.set_target("/");
    Request.set_idempotent(true);
    Request.set_deadline_ms(WaitAtMost.count());
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
    Only.Name = core::EntryName(Served);
    Only.Kind = kind();
    Only.Limit.Concurrency = 1;
    Config->Entries.push_back(Only);
    Config->OutOfServiceFailureDomains = std::move(OutOfService);
    onControl([&] { Configuration.applyIfNewer(Config); });
  }

  /// @return the requests that the target has got since the start.
  std::size_t targetRequests() {
    std::lock_guard<std::mutex> Lock(CallsMutex);
    return Calls.size();
  }

  /// The target turns its last request away.
  void refuseLast(const std::string &RetryAfter) {
    std::lock_guard<std::mutex> Lock(CallsMutex);
    http::Response Refusal = http::jsonResponse(503, "{}");
    Refusal.Head.Fields.set("Retry-After", RetryAfter);
    Calls.back()->respond(std::move(Refusal));
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

  /// On the control duty.
  Gate &gate() { return *Gated; }

private:
  /// Far longer than the patience.
  static constexpr std::chrono::milliseconds WaitAtMost{60000};

  core::TargetKind kind() const {
    return Weights ? core::TargetKind::Engine : core::TargetKind::Service;
  }

  void startTarget() {
    auto Listening =
        http::Server::listen(*Context->HttpCalling, {.Address = "127.0.0.1:0"},
                             [this](std::shared_ptr<http::Exchange> Call) {
                               std::lock_guard<std::mutex> Lock(CallsMutex);
                               Calls.push_back(std::move(Call));
                             });
    BOOST_REQUIRE(Listening);
    Target = std::move(*Listening);
    Context->Config.Target.Kind = kind();
    if (!Weights)
      Context->Config.Target.Serves = core::EntryName(Served);
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

  std::string Served;
  std::unique_ptr<ProcessContext> Context = std::make_unique<ProcessContext>();
  MessageSender Send{*Context, wire::ROLE_AGENT};
  FixedConfiguration Configuration;
  NoHeartbeats Heartbeats;
  std::unique_ptr<WeightService> Weights;
  AttemptIdGenerator Ids;
  std::string EntryAddress = freeAddress();
  /// By request id. On the control duty.
  std::map<std::string, std::promise<wire::RunRefusal>> Refusals;
  std::mutex CallsMutex;
  std::vector<std::shared_ptr<http::Exchange>> Calls;
  std::unique_ptr<http::Server> Target;
  std::unique_ptr<wire::PeerNode> Entry;
  std::unique_ptr<Gate> Gated;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_TESTS_GATE_FIXTURE_H
