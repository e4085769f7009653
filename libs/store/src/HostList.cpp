#include "store/HostList.h"

#include "Deliver.h"
#include "StoreErrors.h"
#include "http/Client.h"

#include <boost/json/parse.hpp>
#include <stdexcept>

namespace rosemarylane::store {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds ReadDeadline{2000};

HostRole parseRole(std::string_view Text) {
  if (Text == "entry")
    return HostRole::Entry;
  if (Text == "agent")
    return HostRole::Agent;
  throw std::invalid_argument("unknown role");
}

std::string text(const json::object &Object, std::string_view Name) {
  return std::string(Object.at(Name).as_string());
}

ListedHost parseHost(const json::object &Object) {
  ListedHost Host;
  Host.Host = core::HostId(text(Object, "host"));
  Host.Role = parseRole(Object.at("role").as_string());
  Host.Region = core::RegionId(text(Object, "region"));
  Host.FailureDomain = core::FailureDomainId(text(Object, "failure_domain"));
  Host.PeerAddress = text(Object, "address");
  Host.Leaving = Object.at("state").as_string() == "leaving";
  return Host;
}

core::Result<std::vector<ListedHost>, StoreError>
parseList(const core::Result<http::Response, http::Error> &Answer) {
  if (!Answer)
    return core::failure(toStoreError(CallKind::Read, Answer.error()));
  if (auto Error = statusError(CallKind::Read, *Answer))
    return core::failure(std::move(*Error));
  try {
    std::vector<ListedHost> Hosts;
    json::value Parsed = json::parse(Answer->Body);
    for (const json::value &Item : Parsed.as_object().at("hosts").as_array())
      Hosts.push_back(parseHost(Item.as_object()));
    return Hosts;
  } catch (const std::exception &E) {
    return core::failure(malformedAnswer(CallKind::Read, E.what()));
  }
}

class HttpHostList : public HostList {
public:
  HttpHostList(runtime::Duty &Io, runtime::Duty &Deliver, std::string Address)
      : Deliver(Deliver), Address(std::move(Address)),
        Http(http::Client::create(Io)) {}

  void read(Hook OnDone) override {
    http::Deadlines Limits;
    Limits.Total = ReadDeadline;
    Http->fetch(
        Address, {"GET", "/v1/hosts", {}, {}}, Limits,
        [&Deliver = Deliver, OnDone = std::move(OnDone)](auto Answer) {
          deliver(Deliver, OnDone, parseList(Answer));
        },
        true);
  }

private:
  runtime::Duty &Deliver;
  std::string Address;
  std::unique_ptr<http::Client> Http;
};

} // namespace

std::unique_ptr<HostList> HostList::create(runtime::Duty &Io,
                                           runtime::Duty &Deliver,
                                           std::string Address) {
  return std::make_unique<HttpHostList>(Io, Deliver, std::move(Address));
}

} // namespace rosemarylane::store
