#include "wire/PeerNode.h"

#include "runtime/Ring.h"
#include "wire/wire.pb.h"

#include <array>
#include <atomic>
#include <cassert>
#include <map>
#include <pthread.h>
#include <sys/eventfd.h>
#include <thread>
#include <unistd.h>
#include <vector>
#include <zmq.hpp>

namespace rosemarylane::wire {

namespace {

constexpr std::size_t SendRingCapacity = 16384;
/// Received messages handled in one go before the send ring is looked at again.
constexpr int ReceiveBurst = 64;
constexpr char RoutingIdSeparator = '#';
constexpr std::chrono::milliseconds ReconnectInterval{50};
constexpr std::chrono::milliseconds ReconnectIntervalMax{500};
constexpr std::chrono::milliseconds HandshakeTimeout{1000};

/// With a domain set, connections of ZeroMQ before version 3 are refused: any
/// bytes pass for one, also a message that never ends.
constexpr char SecurityDomain[] = "rosemarylane";

/// What another thread asks of the link thread.
struct Command {
  enum class Kind { Send, Reconnect };
  Kind What = Kind::Send;
  Peer To;
  std::string Frame;
};

std::string endpoint(const std::string &Address) { return "tcp://" + Address; }

void applyLinkOptions(zmq::socket_t &Socket, const PeerSettings &Settings) {
  auto Milliseconds = [](std::chrono::milliseconds D) {
    return static_cast<int>(D.count());
  };
  Socket.set(zmq::sockopt::linger, 0);
  Socket.set(zmq::sockopt::zap_domain, SecurityDomain);
  Socket.set(zmq::sockopt::sndhwm, Settings.HighWaterMark);
  Socket.set(zmq::sockopt::rcvhwm, Settings.HighWaterMark);
  Socket.set(zmq::sockopt::router_mandatory, true);
  Socket.set(zmq::sockopt::maxmsgsize,
             static_cast<int64_t>(Settings.MaxMessageBytes));
  Socket.set(zmq::sockopt::heartbeat_ivl,
             Milliseconds(Settings.HeartbeatInterval));
  Socket.set(zmq::sockopt::heartbeat_timeout,
             Milliseconds(Settings.HeartbeatTimeout));
  Socket.set(zmq::sockopt::heartbeat_ttl,
             Milliseconds(Settings.HeartbeatTimeout));
  Socket.set(zmq::sockopt::reconnect_ivl, Milliseconds(ReconnectInterval));
  Socket.set(zmq::sockopt::reconnect_ivl_max,
             Milliseconds(ReconnectIntervalMax));
  Socket.set(zmq::sockopt::handshake_ivl, Milliseconds(HandshakeTimeout));
  Socket.set(zmq::sockopt::connect_timeout, Milliseconds(HandshakeTimeout));
}

} // namespace

struct PeerNode::State {
  using Clock = std::chrono::steady_clock;

  struct Connection {
    std::string RoutingId;
    Clock::time_point LastUsed;
  };

  State(PeerSettings Settings, runtime::Duty &Deliver, MessageHook OnMessage)
      : Settings(std::move(Settings)), Deliver(Deliver),
        OnMessage(std::move(OnMessage)), Commands(SendRingCapacity),
        Listener(Context, zmq::socket_type::router),
        Dialer(Context, zmq::socket_type::router),
        WakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    assert(WakeFd >= 0);
  }
  ~State() { close(WakeFd); }

  void bind() {
    applyLinkOptions(Listener, Settings);
    applyLinkOptions(Dialer, Settings);
    Listener.bind(endpoint(Settings.Listen));
  }

  void wake() {
    std::uint64_t One = 1;
    [[maybe_unused]] auto Written = write(WakeFd, &One, sizeof(One));
  }

  void run() {
    std::array<zmq::pollitem_t, 3> Items{{{Listener.handle(), 0, ZMQ_POLLIN, 0},
                                          {Dialer.handle(), 0, ZMQ_POLLIN, 0},
                                          {nullptr, WakeFd, ZMQ_POLLIN, 0}}};
    while (!Stopping) {
      zmq::poll(Items.data(), Items.size(), Settings.IdleTimeout / 2);
      if (Items[0].revents & ZMQ_POLLIN)
        receive(Listener, Peer::Direction::Incoming);
      if (Items[1].revents & ZMQ_POLLIN)
        receive(Dialer, Peer::Direction::Outgoing);
      if (Items[2].revents & ZMQ_POLLIN)
        drainWake();
      runCommands();
      closeIdle();
    }
  }

  void drainWake() {
    std::uint64_t Count;
    [[maybe_unused]] auto Read = read(WakeFd, &Count, sizeof(Count));
  }

  void runCommands() {
    while (auto Next = Commands.tryPop()) {
      if (Next->What == Command::Kind::Reconnect)
        disconnect(Next->To.Key);
      else
        transmit(*Next);
    }
  }

  /// Opens a connection to \p Address unless there is one.
  /// @return the routing id of the connection.
  const std::string &connectionTo(const std::string &Address) {
    auto [Found, New] = Connections.try_emplace(Address);
    Connection &To = Found->second;
    if (New) {
      // An id is used once: a closed connection may still hold its own.
      To.RoutingId =
          Address + RoutingIdSeparator + std::to_string(NextConnection++);
      Dialer.set(zmq::sockopt::connect_routing_id, To.RoutingId);
      Dialer.connect(endpoint(Address));
      Open = Connections.size();
    }
    To.LastUsed = Clock::now();
    return To.RoutingId;
  }

  /// Each open connection costs heartbeats, so those out of use are closed.
  void closeIdle() {
    Clock::time_point Now = Clock::now();
    if (Now < NextSweep)
      return;
    NextSweep = Now + Settings.IdleTimeout / 2;
    std::vector<std::string> Idle;
    for (const auto &[Address, To] : Connections)
      if (Now - To.LastUsed >= Settings.IdleTimeout)
        Idle.push_back(Address);
    for (const std::string &Address : Idle)
      disconnect(Address);
  }

  void disconnect(const std::string &Address) {
    if (Connections.erase(Address) == 0)
      return;
    Open = Connections.size();
    try {
      Dialer.disconnect(endpoint(Address));
    } catch (const zmq::error_t &) {
      // The connection has already gone.
    }
  }

  void transmit(Command &Out) {
    bool Outgoing = Out.To.Way == Peer::Direction::Outgoing;
    zmq::socket_t &Socket = Outgoing ? Dialer : Listener;
    try {
      zmq::message_t Id(Outgoing ? connectionTo(Out.To.Key) : Out.To.Key);
      zmq::message_t Frame(Out.Frame);
      bool Sent =
          Socket.send(Id, zmq::send_flags::sndmore | zmq::send_flags::dontwait)
              .has_value() &&
          Socket.send(Frame, zmq::send_flags::dontwait).has_value();
      if (!Sent) {
        ++Dropped;
        return;
      }
      ++MessagesOut;
      BytesOut += Out.Frame.size();
    } catch (const zmq::error_t &) {
      // The peer has gone, or its address is malformed.
      ++Dropped;
    }
  }

  void receive(zmq::socket_t &Socket, Peer::Direction Way) {
    for (int I = 0; I < ReceiveBurst; ++I) {
      zmq::message_t Id;
      if (!Socket.recv(Id, zmq::recv_flags::dontwait))
        return;
      zmq::message_t Frame;
      std::size_t Frames = 0;
      while (Socket.get(zmq::sockopt::rcvmore)) {
        (void)Socket.recv(Frame);
        ++Frames;
      }
      if (Frames != 1) {
        ++Malformed;
        continue;
      }
      std::string Key = Id.to_string();
      if (Way == Peer::Direction::Outgoing)
        noteUse(Key);
      deliver({Way, std::move(Key)}, Frame);
    }
  }

  /// Turns the routing id \p Key into its address, and notes that the
  /// connection is in use.
  void noteUse(std::string &Key) {
    Key.resize(Key.find(RoutingIdSeparator));
    if (auto Found = Connections.find(Key); Found != Connections.end())
      Found->second.LastUsed = Clock::now();
  }

  void deliver(Peer From, const zmq::message_t &Frame) {
    auto Message = std::make_shared<Envelope>();
    if (!Message->ParseFromArray(Frame.data(),
                                 static_cast<int>(Frame.size())) ||
        Message->body_case() == Envelope::BODY_NOT_SET) {
      ++Malformed;
      return;
    }
    ++MessagesIn;
    BytesIn += Frame.size();
    bool Taken = Deliver.post([this, From = std::move(From), Message] {
      OnMessage(From, std::move(*Message));
    });
    if (!Taken)
      ++Dropped;
  }

  PeerSettings Settings;
  runtime::Duty &Deliver;
  MessageHook OnMessage;
  runtime::Ring<Command> Commands;
  zmq::context_t Context{1};
  zmq::socket_t Listener;
  zmq::socket_t Dialer;
  int WakeFd;
  /// The outgoing connection to each address.
  std::map<std::string, Connection> Connections;
  std::atomic<std::uint64_t> Open{0};
  Clock::time_point NextSweep;
  std::uint64_t NextConnection = 0;
  std::atomic<bool> Stopping{false};
  std::atomic<std::uint64_t> MessagesIn{0};
  std::atomic<std::uint64_t> MessagesOut{0};
  std::atomic<std::uint64_t> BytesIn{0};
  std::atomic<std::uint64_t> BytesOut{0};
  std::atomic<std::uint64_t> Malformed{0};
  std::atomic<std::uint64_t> Dropped{0};
  std::thread Thread;
};

core::Result<std::unique_ptr<PeerNode>, LinkError>
PeerNode::start(PeerSettings Settings, runtime::Duty &Deliver,
                MessageHook OnMessage) {
  auto S = std::make_unique<State>(std::move(Settings), Deliver,
                                   std::move(OnMessage));
  try {
    S->bind();
  } catch (const zmq::error_t &E) {
    return core::failure(
        LinkError{"cannot listen on " + S->Settings.Listen + ": " + E.what()});
  }
  State *Raw = S.get();
  Raw->Thread = std::thread([Raw] { Raw->run(); });
  pthread_setname_np(Raw->Thread.native_handle(), "peers");
  return std::unique_ptr<PeerNode>(new PeerNode(std::move(S)));
}

PeerNode::PeerNode(std::unique_ptr<State> S) : S(std::move(S)) {}

PeerNode::~PeerNode() {
  S->Stopping = true;
  S->wake();
  S->Thread.join();
}

bool PeerNode::send(const Peer &To, const Envelope &Message) {
  assert(Message.body_case() != Envelope::BODY_NOT_SET);
  Command Out{Command::Kind::Send, To, Message.SerializeAsString()};
  if (!S->Commands.tryPush(std::move(Out))) {
    ++S->Dropped;
    return false;
  }
  S->wake();
  return true;
}

void PeerNode::reconnect(const std::string &Address) {
  Command Out{Command::Kind::Reconnect, Peer::at(Address), {}};
  if (S->Commands.tryPush(std::move(Out)))
    S->wake();
}

PeerTraffic PeerNode::traffic() const {
  PeerTraffic Counts;
  Counts.MessagesIn = S->MessagesIn;
  Counts.MessagesOut = S->MessagesOut;
  Counts.BytesIn = S->BytesIn;
  Counts.BytesOut = S->BytesOut;
  Counts.Malformed = S->Malformed;
  Counts.Dropped = S->Dropped;
  Counts.Connections = S->Open;
  return Counts;
}

} // namespace rosemarylane::wire
