#include "EndlessServer.h"
#include "wire/PeerNode.h"
#include "wire/wire.pb.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace std::chrono_literals;

namespace {

/// What one message may hold, and what the sockets on the way may hold besides.
constexpr std::size_t MessageAndSocketBytes = 80 << 20;

wire::PeerSettings settings(const char *Address) {
  wire::PeerSettings Settings;
  Settings.Listen = Address;
  return Settings;
}

/// @return bytes that a node takes in two seconds from a peer that sends
/// \p Repeated without end.
std::size_t takenFrom(const EndlessAnswer &Peer) {
  EndlessServer Server(Peer);
  auto Duty = runtime::Duty::start("test", 64, nullptr);
  auto Node = wire::PeerNode::start(settings("127.0.0.1:21811"), *Duty,
                                    [](const wire::Peer &, wire::Envelope) {});
  BOOST_REQUIRE(Node);
  wire::Envelope Message;
  Message.mutable_heartbeat()->set_sequence(1);
  (*Node)->send(wire::Peer::at(Server.address()), Message);
  std::this_thread::sleep_for(2s);
  return Server.sent();
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_peer)

BOOST_AUTO_TEST_CASE(bytes_that_are_no_message_are_bounded) {
  // As frames of an old peer, odd bytes say that more of a message follows.
  for (char Byte : {'A', 'x', '\x7f', '\xff', '\0'})
    BOOST_TEST_CONTEXT(static_cast<int>(Byte))
  BOOST_TEST(takenFrom({"", std::string(64 << 10, Byte)}) <
             MessageAndSocketBytes);
}

BOOST_AUTO_TEST_SUITE_END()
