#include "wire/PeerNode.h"
#include "wire/wire.pb.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace rosemarylane;
using namespace std::chrono_literals;

namespace {

wire::PeerSettings settings(const char *Address) {
  wire::PeerSettings Settings;
  Settings.Listen = Address;
  Settings.HeartbeatInterval = 100ms;
  Settings.HeartbeatTimeout = 300ms;
  return Settings;
}

wire::Envelope heartbeat(std::uint64_t Sequence) {
  wire::Envelope Message;
  Message.mutable_heartbeat()->set_sequence(Sequence);
  return Message;
}

/// Answers each heartbeat with its sequence number.
class EchoNode {
public:
  explicit EchoNode(const char *Address)
      : Duty(runtime::Duty::start("echo", 64, nullptr)) {
    auto Started = wire::PeerNode::start(
        settings(Address), *Duty,
        [this](const wire::Peer &From, wire::Envelope Message) {
          wire::Envelope Reply;
          Reply.mutable_heartbeat_reply()->set_sequence(
              Message.heartbeat().sequence());
          Node->send(From, Reply);
        });
    BOOST_REQUIRE(Started);
    Node = std::move(*Started);
  }

  std::unique_ptr<runtime::Duty> Duty;
  std::unique_ptr<wire::PeerNode> Node;
};

/// Sends heartbeats until one is answered.
bool answeredWithin(wire::PeerNode &Node, const char *Address,
                    const std::atomic<std::uint64_t> &Answered,
                    std::uint64_t &Sequence, std::chrono::milliseconds Limit) {
  std::uint64_t First = Sequence + 1;
  auto Deadline = std::chrono::steady_clock::now() + Limit;
  while (std::chrono::steady_clock::now() < Deadline) {
    Node.send(wire::Peer::at(Address), heartbeat(++Sequence));
    std::this_thread::sleep_for(20ms);
    if (Answered >= First)
      return true;
  }
  return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_node)

BOOST_AUTO_TEST_CASE(reaches_a_peer_again_after_its_restart) {
  const char *EchoAddress = "127.0.0.1:21801";
  auto Duty = runtime::Duty::start("test", 64, nullptr);
  std::atomic<std::uint64_t> Answered{0};
  auto Node =
      wire::PeerNode::start(settings("127.0.0.1:21802"), *Duty,
                            [&](const wire::Peer &, wire::Envelope Message) {
                              Answered = Message.heartbeat_reply().sequence();
                            });
  BOOST_REQUIRE(Node);
  std::uint64_t Sequence = 0;
  {
    EchoNode Echo(EchoAddress);
    BOOST_TEST(answeredWithin(**Node, EchoAddress, Answered, Sequence, 2s));
  }
  BOOST_TEST(!answeredWithin(**Node, EchoAddress, Answered, Sequence, 300ms));
  EchoNode Echo(EchoAddress);
  BOOST_TEST(answeredWithin(**Node, EchoAddress, Answered, Sequence, 2s));
  (*Node)->reconnect(EchoAddress);
  BOOST_TEST(answeredWithin(**Node, EchoAddress, Answered, Sequence, 2s));
}

BOOST_AUTO_TEST_CASE(connection_out_of_use_is_closed_and_opened_again) {
  const char *EchoAddress = "127.0.0.1:21804";
  auto Duty = runtime::Duty::start("test", 64, nullptr);
  std::atomic<std::uint64_t> Answered{0};
  auto Settings = settings("127.0.0.1:21805");
  Settings.IdleTimeout = 100ms;
  auto Node = wire::PeerNode::start(
      Settings, *Duty, [&](const wire::Peer &, wire::Envelope Message) {
        Answered = Message.heartbeat_reply().sequence();
      });
  BOOST_REQUIRE(Node);
  EchoNode Echo(EchoAddress);
  std::uint64_t Sequence = 0;
  BOOST_TEST(answeredWithin(**Node, EchoAddress, Answered, Sequence, 2s));
  BOOST_TEST((*Node)->traffic().Connections == 1u);
  auto Deadline = std::chrono::steady_clock::now() + 2s;
  while ((*Node)->traffic().Connections > 0 &&
         std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(10ms);
  BOOST_TEST((*Node)->traffic().Connections == 0u);
  BOOST_TEST(answeredWithin(**Node, EchoAddress, Answered, Sequence, 2s));
}

BOOST_AUTO_TEST_CASE(occupied_address_is_an_error) {
  auto Duty = runtime::Duty::start("test", 64, nullptr);
  auto Ignore = [](const wire::Peer &, wire::Envelope) {};
  auto First =
      wire::PeerNode::start(settings("127.0.0.1:21803"), *Duty, Ignore);
  BOOST_REQUIRE(First);
  auto Second =
      wire::PeerNode::start(settings("127.0.0.1:21803"), *Duty, Ignore);
  BOOST_TEST(!Second.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
