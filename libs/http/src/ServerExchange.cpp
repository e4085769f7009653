#include "ServerExchange.h"

#include <boost/asio/dispatch.hpp>

namespace rosemarylane::http {

ServerExchange::~ServerExchange() {
  if (!Ended.exchange(true))
    boost::asio::dispatch(Connection->executor(),
                          [C = Connection, Id = Id] { C->abort(Id); });
}

void ServerExchange::respond(Response Whole) {
  if (Ended.exchange(true))
    return;
  boost::asio::dispatch(Connection->executor(),
                        [C = Connection, Id = Id, Whole = std::move(Whole)] {
                          C->respond(Id, Whole);
                        });
}

void ServerExchange::startStream(ResponseHead Head) {
  if (Ended)
    return;
  boost::asio::dispatch(Connection->executor(),
                        [C = Connection, Id = Id, Head = std::move(Head)] {
                          C->startStream(Id, Head);
                        });
}

void ServerExchange::write(std::string Part) {
  if (Ended || Part.empty())
    return;
  *InTransit += Part.size();
  boost::asio::dispatch(
      Connection->executor(),
      [C = Connection, Id = Id, InTransit = InTransit, Part = std::move(Part)] {
        *InTransit -= Part.size();
        C->write(Id, Part);
      });
}

void ServerExchange::finish() {
  if (Ended.exchange(true))
    return;
  boost::asio::dispatch(Connection->executor(),
                        [C = Connection, Id = Id] { C->finish(Id); });
}

void ServerExchange::abort() {
  if (Ended.exchange(true))
    return;
  boost::asio::dispatch(Connection->executor(),
                        [C = Connection, Id = Id] { C->abort(Id); });
}

std::size_t ServerExchange::backlog() const {
  return *InTransit + Connection->queuedBytes();
}

void ServerExchange::onGone(std::function<void()> Hook) {
  boost::asio::dispatch(
      Connection->executor(),
      [Weak = weak_from_this(), Hook = std::move(Hook)]() mutable {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (Self->Gone)
          Hook();
        else
          Self->GoneHook = std::move(Hook);
      });
}

void ServerExchange::gone() {
  Gone = true;
  auto Hook = std::exchange(GoneHook, nullptr);
  if (Hook && !Ended)
    Hook();
}

} // namespace rosemarylane::http
