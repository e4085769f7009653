#include "http/Server.h"

#include "Address.h"
#include "RunOnDuty.h"
#include "ServerConnection.h"
#include "http/SocketBuffers.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <set>

namespace rosemarylane::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Pause before the next accept after one failed, for example for lack of file
/// descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

struct Server::State : std::enable_shared_from_this<Server::State> {
  State(runtime::Duty &On, ServerSettings Settings, Handler OnRequest)
      : On(On), Settings(std::move(Settings)), OnRequest(std::move(OnRequest)),
        Memory(this->Settings.MaxRequestBytes),
        Places(this->Settings.MaxConnections), Acceptor(On.context()),
        AcceptTimer(On.context()), DrainTimer(On.context()) {}

  error_code open(const tcp::endpoint &Address) {
    error_code Error;
    Acceptor.open(Address.protocol(), Error);
    if (!Error)
      Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
    if (!Error)
      Error = limitSocketBuffers(Acceptor);
    if (!Error)
      Acceptor.bind(Address, Error);
    if (!Error)
      Acceptor.listen(boost::asio::socket_base::max_listen_connections, Error);
    if (!Error)
      Port = Acceptor.local_endpoint(Error).port();
    return Error;
  }

  void accept() {
    Acceptor.async_accept(
        [Self = shared_from_this()](error_code Error, tcp::socket Socket) {
          if (Self->Draining || Self->Closed)
            return;
          if (Error)
            return Self->acceptLater();
          Self->take(std::move(Socket));
          Self->accept();
        });
  }

  void acceptLater() {
    AcceptTimer.expires_after(AcceptRetryDelay);
    AcceptTimer.async_wait([Self = shared_from_this()](error_code Error) {
      if (!Error && !Self->Draining && !Self->Closed)
        Self->accept();
    });
  }

  void take(tcp::socket Socket) {
    if (!Places.makeRoom())
      return;
    ConnectionHooks Hooks;
    Hooks.OnRequest = OnRequest;
    Hooks.Number = ++LastNumber;
    Hooks.OnClosed = [Self = shared_from_this()](ServerConnection &Ended) {
      Self->Connections.erase(Ended.shared_from_this());
    };
    auto Connection = std::make_shared<ServerConnection>(
        std::move(Socket), Settings, Memory, Places, InProgress,
        std::move(Hooks));
    Connections.insert(Connection);
    Connection->start();
  }

  void drain() {
    Draining = true;
    stopAccepting();
    for (const auto &Connection : Connections)
      Connection->drain();
    DrainTimer.expires_after(Settings.DrainGrace);
    DrainTimer.async_wait([Self = shared_from_this()](error_code) {
      if (!Self->Closed)
        Self->closeIdle();
      --*Self->InProgress;
    });
  }

  void stopAccepting() {
    error_code Ignored;
    Acceptor.close(Ignored);
    AcceptTimer.cancel();
  }

  void shutDown() {
    Closed = true;
    stopAccepting();
    DrainTimer.cancel();
    for (const auto &Connection : std::exchange(Connections, {}))
      Connection->discard();
    OnRequest = nullptr;
  }

  void closeIdle() {
    auto Present = Connections;
    for (const auto &Connection : Present)
      if (Connection->idle())
        Connection->close();
  }

  runtime::Duty &On;
  ServerSettings Settings;
  Handler OnRequest;
  RequestMemory Memory;
  ConnectionLimit Places;
  tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  boost::asio::steady_timer DrainTimer;
  std::uint16_t Port = 0;
  std::uint64_t LastNumber = 0;
  std::set<std::shared_ptr<ServerConnection>> Connections;
  std::shared_ptr<std::atomic<std::size_t>> InProgress =
      std::make_shared<std::atomic<std::size_t>>(0);
  std::atomic<bool> DrainAsked{false};
  bool Draining = false;
  bool Closed = false;
};

core::Result<std::unique_ptr<Server>, Error>
Server::listen(runtime::Duty &On, ServerSettings Settings, Handler OnRequest) {
  auto Address = parseAddress(Settings.Address);
  if (!Address)
    return core::failure(Error{Error::Kind::Address,
                               "not an IP:port: \"" + Settings.Address + "\""});
  auto S =
      std::make_shared<State>(On, std::move(Settings), std::move(OnRequest));
  if (auto OpenError = S->open(*Address))
    return core::failure(
        Error{Error::Kind::Address, "cannot listen on " + S->Settings.Address +
                                        ": " + OpenError.message()});
  On.postAlways([S] { S->accept(); });
  return std::unique_ptr<Server>(new Server(std::move(S)));
}

Server::Server(std::shared_ptr<State> S) : S(std::move(S)) {}

Server::~Server() {
  runOnDuty(S->On, [this] { S->shutDown(); });
}

std::uint16_t Server::port() const { return S->Port; }

void Server::drain() {
  if (S->DrainAsked.exchange(true))
    return;
  ++*S->InProgress;
  S->On.postAlways([S = S] { S->drain(); });
}

std::size_t Server::inProgress() const { return *S->InProgress; }

} // namespace rosemarylane::http
