#include "gateway/TargetPool.h"

#include "node/Sockets.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemarylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxIdleConnectionsPerTarget = 8;
/// Time for which an idle connection is kept if its target does not state its
/// own keep-alive time.
constexpr milliseconds DefaultKeepAliveTime{3000};
/// Upper limit of the time for which an idle connection is kept if its target
/// states its own keep-alive time. Half of the stated time is used, up to this
/// limit.
constexpr milliseconds MaxKeepAliveTime{6000};
/// A connection is closed if the target's host leaves sent bytes or TCP
/// keep-alive probes unacknowledged for this long.
constexpr milliseconds TargetSilenceTimeout{1200};

} // namespace

TargetPool::ConnectionPtr TargetPool::acquireIdle(const serving::TargetId &Id,
                                                  core::BootTime Now,
                                                  milliseconds MaxIdleTime) {
  auto Found = IdleConnections.find(Id);
  if (Found == IdleConnections.end())
    return nullptr;
  std::vector<IdleConnection> &Connections = Found->second;
  while (!Connections.empty()) {
    IdleConnection Last = std::move(Connections.back());
    Connections.pop_back();
    bool IsUsable = Now < Last.ExpiresAt && Now - Last.IdleSince <= MaxIdleTime;
    // `isIdle`: no byte has arrived, and the target has not closed it.
    if (IsUsable && isIdle(Last.Connection->socket()))
      return std::move(Last.Connection);
  }
  return nullptr;
}

asio::awaitable<bool> TargetPool::connect(beast::tcp_stream &Connection,
                                          std::string Address,
                                          milliseconds Timeout) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return false;
  Connection.expires_after(Timeout);
  auto [ErrorCode] = co_await Connection.async_connect(
      *Endpoint, asio::as_tuple(asio::use_awaitable));
  if (ErrorCode || !Connection.socket().is_open())
    co_return false;
  enableDeadPeerDetection(Connection.socket(), TargetSilenceTimeout);
  co_return true;
}

void TargetPool::release(const serving::TargetId &Id, ConnectionPtr Connection,
                         core::BootTime Now,
                         std::optional<std::chrono::seconds> TargetKeepAlive) {
  std::vector<IdleConnection> &Connections = IdleConnections[Id];
  if (Connections.size() >= MaxIdleConnectionsPerTarget)
    return;
  milliseconds KeepAliveTime = DefaultKeepAliveTime;
  if (TargetKeepAlive)
    KeepAliveTime =
        std::min(MaxKeepAliveTime, milliseconds(*TargetKeepAlive) / 2);
  Connections.push_back({std::move(Connection), Now, Now + KeepAliveTime});
}

void TargetPool::closeExpired(core::BootTime Now) {
  for (auto &[Id, Connections] : IdleConnections)
    std::erase_if(Connections,
                  [&](const IdleConnection &K) { return Now >= K.ExpiresAt; });
  std::erase_if(IdleConnections,
                [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace rosemarylane
