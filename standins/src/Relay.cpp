#include "Relay.h"

#include "RelayLink.h"
#include "http/Server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <set>
#include <vector>

namespace rosemarylane::standins {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace json = boost::json;

namespace {

tcp::endpoint endpointOf(const std::string &Address, int Index) {
  auto Colon = Address.rfind(':');
  int Port = std::stoi(Address.substr(Colon + 1)) + Index;
  return {boost::asio::ip::make_address(Address.substr(0, Colon)),
          static_cast<std::uint16_t>(Port)};
}

} // namespace

struct Relay::State : std::enable_shared_from_this<Relay::State> {
  /// One listening address and where it leads.
  struct Door {
    tcp::endpoint Listen;
    tcp::endpoint To;
    std::unique_ptr<tcp::acceptor> Acceptor;
  };

  explicit State(runtime::Duty &On) : On(On) {}

  void open(std::size_t Index) {
    Door &Each = Doors[Index];
    Each.Acceptor = std::make_unique<tcp::acceptor>(On.context(), Each.Listen);
    accept(Index);
  }

  void accept(std::size_t Index) {
    Doors[Index].Acceptor->async_accept(
        [Weak = weak_from_this(), Index](error_code Error, tcp::socket Socket) {
          auto Self = Weak.lock();
          if (!Self || Error)
            return;
          auto Link =
              std::make_shared<RelayLink>(std::move(Socket), Self->Shared);
          std::erase_if(Self->Links,
                        [](const auto &Known) { return Known->closed(); });
          Self->Links.push_back(Link);
          Link->start(Self->Doors[Index].To);
          Self->accept(Index);
        });
  }

  void cut() {
    for (Door &Each : Doors)
      Each.Acceptor.reset();
    for (const auto &Link : std::exchange(Links, {}))
      Link->close();
  }

  void receive(const std::shared_ptr<http::Exchange> &Call) {
    try {
      set(json::parse(Call->request().Body).as_object());
      Call->respond(http::jsonResponse(200, "{}"));
    } catch (const std::exception &E) {
      Call->respond(http::problemResponse(400, "Bad faults", E.what(), "no"));
    }
  }

  void set(const json::object &Faults) {
    if (const json::value *Cut = Faults.if_contains("cut")) {
      cut();
      for (std::size_t I = 0; !Cut->as_bool() && I < Doors.size(); ++I)
        open(I);
    }
    if (const json::value *Freeze = Faults.if_contains("freeze"))
      Shared->Frozen = Freeze->as_bool();
    if (Faults.contains("silent_existing"))
      for (const auto &Link : Links)
        Link->silence();
    if (const json::value *Rate = Faults.if_contains("rate"))
      Shared->BytesPerSecond = Rate->to_number<std::uint64_t>();
    if (const json::value *Delay = Faults.if_contains("delay_ms"))
      Shared->Delay =
          std::chrono::milliseconds(Delay->to_number<std::int64_t>());
  }

  runtime::Duty &On;
  std::shared_ptr<Line> Shared = std::make_shared<Line>();
  std::vector<Door> Doors;
  std::vector<std::shared_ptr<RelayLink>> Links;
  std::unique_ptr<http::Server> Control;
};

core::Result<std::unique_ptr<Relay>, http::Error>
Relay::start(runtime::Duty &On, const RelaySettings &Settings) {
  auto S = std::make_shared<State>(On);
  S->Shared->BytesPerSecond = Settings.BytesPerSecond;
  S->Shared->Delay = Settings.Delay;
  try {
    for (int I = 0; I < Settings.Count; ++I) {
      S->Doors.push_back({endpointOf(Settings.Listen, I),
                          endpointOf(Settings.To, I), nullptr});
      S->open(S->Doors.size() - 1);
    }
  } catch (const std::exception &E) {
    return core::failure(http::Error{http::Error::Kind::Address, E.what()});
  }
  if (!Settings.Control.empty()) {
    http::ServerSettings Http;
    Http.Address = Settings.Control;
    auto Server = http::Server::listen(
        On, Http, [Raw = S.get()](auto Call) { Raw->receive(Call); });
    if (!Server)
      return core::failure(Server.error());
    S->Control = std::move(*Server);
  }
  return std::unique_ptr<Relay>(new Relay(std::move(S)));
}

Relay::Relay(std::shared_ptr<State> S) : S(std::move(S)) {}

Relay::~Relay() { S->Control.reset(); }

std::uint64_t Relay::returnedBytes() const { return S->Shared->ReturnedBytes; }

} // namespace rosemarylane::standins
