#include "node/PeerSocket.h"

#include "node/TransferCounts.h"
#include "telemetry/Log.h"

#include <array>
#include <boost/asio/ip/udp.hpp>

namespace rosemarylane {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

namespace {
/// Size of the receive buffer. A longer datagram is truncated by the system and
/// then usually dropped, without a log line, because it cannot be parsed.
/// Senders do not check the size.
constexpr std::size_t MaxReceivedBytes = 16 << 10;

/// @return the name of the body of \p Message, for the log.
std::string_view kindOf(const wire::NodeMessage &Message) {
  switch (Message.body_case()) {
  case wire::NodeMessage::kAsk:
    return "ask";
  case wire::NodeMessage::kReply:
    return "reply";
  case wire::NodeMessage::kTarget:
    return "target report";
  case wire::NodeMessage::kHoldings:
    return "holdings";
  case wire::NodeMessage::kCrashEvidence:
    return "crash evidence";
  case wire::NodeMessage::kNamedLimit:
    return "named limit";
  case wire::NodeMessage::kLoadVerdict:
    return "load verdict";
  case wire::NodeMessage::BODY_NOT_SET:
    break;
  }
  return "unknown";
}
} // namespace

struct PeerSocket::State : std::enable_shared_from_this<PeerSocket::State> {
  State(asio::io_context &Loop, std::uint16_t Port, MessageHook OnMessage)
      : Socket(Loop), Port(Port), OnMessage(std::move(OnMessage)) {}

  void receive() {
    Socket.async_receive_from(
        asio::buffer(Bytes), From,
        [Self = shared_from_this()](boost::system::error_code Failed,
                                    std::size_t Size) {
          if (Failed == asio::error::operation_aborted)
            return;
          if (!Failed)
            Self->handleDatagram(Size);
          Self->receive();
        });
  }

  void handleDatagram(std::size_t Size) {
    wire::NodeMessage Message;
    if (!Message.ParseFromArray(Bytes.data(), static_cast<int>(Size)))
      return;
    bool SameDomain =
        Message.sender().failure_domain() == Self.failure_domain();
    Counts.received(kindOf(Message), Size,
                    SameDomain ? TransferCounts::Place::OwnDomain
                               : TransferCounts::Place::OtherDomain,
                    core::BootClock::now());
    OnMessage(Message, From.address().to_string());
  }

  Udp::socket Socket;
  std::uint16_t Port;
  MessageHook OnMessage;
  wire::Node Self;
  bool StoreLost = false;
  TransferCounts Counts{"datagrams"};
  Udp::endpoint From;
  std::array<char, MaxReceivedBytes> Bytes{};
};

std::unique_ptr<PeerSocket> PeerSocket::open(asio::io_context &Loop,
                                             const NodeSettings &Settings,
                                             serving::PeerRole Role,
                                             MessageHook OnMessage) {
  auto S =
      std::make_shared<State>(Loop, Settings.PeerPort, std::move(OnMessage));
  S->Self = peerToWire({Settings.Ip, Settings.FailureDomain, Role});
  boost::system::error_code Failed;
  S->Socket.open(Udp::v4(), Failed);
  if (!Failed)
    S->Socket.bind({asio::ip::make_address(Settings.Ip), Settings.PeerPort},
                   Failed);
  if (!Failed)
    S->Socket.non_blocking(true, Failed);
  if (Failed) {
    telemetry::log(telemetry::Level::Error, "cannot bind the peer port",
                   {{"port", std::int64_t(Settings.PeerPort)},
                    {"error", Failed.message()}});
    return nullptr;
  }
  S->receive();
  return std::unique_ptr<PeerSocket>(new PeerSocket(std::move(S)));
}

PeerSocket::PeerSocket(std::shared_ptr<State> S) : S(std::move(S)) {}

PeerSocket::~PeerSocket() {
  boost::system::error_code Ignored; // The socket is being destroyed.
  S->Socket.close(Ignored);
}

void PeerSocket::setStoreLost(bool Lost) { S->StoreLost = Lost; }

void PeerSocket::send(const std::string &Ip, wire::NodeMessage Message) {
  boost::system::error_code Failed;
  auto Address = asio::ip::make_address(Ip, Failed);
  if (Failed)
    return;
  *Message.mutable_sender() = S->Self;
  Message.mutable_sender()->set_store_lost(S->StoreLost);
  std::string Bytes = Message.SerializeAsString();
  S->Counts.sent(kindOf(Message), Bytes.size(), core::BootClock::now());
  // Errors are ignored. If the buffer is full or the peer is unreachable, the
  // datagram is lost; receivers have to cope with that anyway, because the
  // network may lose datagrams too.
  S->Socket.send_to(asio::buffer(Bytes), {Address, S->Port}, 0, Failed);
}

wire::NodeRole toWire(serving::PeerRole Role) {
  return Role == serving::PeerRole::Gateway ? wire::NODE_ROLE_GATEWAY
                                            : wire::NODE_ROLE_SIDECAR;
}

serving::Peer peerFromWire(const wire::Node &From) {
  serving::Peer Result;
  Result.Ip = From.ip();
  Result.FailureDomain = core::FailureDomainId(From.failure_domain());
  Result.Role = From.role() == wire::NODE_ROLE_SIDECAR
                    ? serving::PeerRole::Sidecar
                    : serving::PeerRole::Gateway;
  Result.StoreLost = From.store_lost();
  return Result;
}

wire::Node peerToWire(const serving::Peer &From) {
  wire::Node Result;
  Result.set_ip(From.Ip);
  Result.set_failure_domain(From.FailureDomain.str());
  Result.set_role(toWire(From.Role));
  Result.set_store_lost(From.StoreLost);
  return Result;
}

} // namespace rosemarylane
