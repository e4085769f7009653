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

constexpr std::size_t KeptPerTarget = 8;
constexpr milliseconds DefaultLife{3000};
constexpr milliseconds LongestLife{6000};
/// A connection on which the other end is silent for this long is lost.
constexpr milliseconds Silence{1200};

} // namespace

TargetPool::Stream TargetPool::takeIdle(const serving::TargetId &Id,
                                        core::BootTime Now,
                                        milliseconds MaxIdle) {
  auto Found = Idle.find(Id);
  if (Found == Idle.end())
    return nullptr;
  std::vector<Kept> &List = Found->second;
  while (!List.empty()) {
    Kept Last = std::move(List.back());
    List.pop_back();
    bool Fresh = Now < Last.Until && Now - Last.Since <= MaxIdle;
    if (Fresh && isIdle(Last.Connection->socket()))
      return std::move(Last.Connection);
  }
  return nullptr;
}

asio::awaitable<TargetPool::Stream> TargetPool::connect(std::string Address,
                                                        milliseconds Timeout) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return nullptr;
  auto Connection = std::make_unique<beast::tcp_stream>(Loop);
  Connection->expires_after(Timeout);
  auto [Failed] = co_await Connection->async_connect(
      *Endpoint, asio::as_tuple(asio::use_awaitable));
  if (Failed)
    co_return nullptr;
  enableDeadPeerDetection(Connection->socket(), Silence);
  co_return Connection;
}

void TargetPool::keep(const serving::TargetId &Id, Stream Connection,
                      core::BootTime Now,
                      std::optional<std::chrono::seconds> KeepFor) {
  std::vector<Kept> &List = Idle[Id];
  if (List.size() >= KeptPerTarget)
    return;
  milliseconds Life = DefaultLife;
  if (KeepFor)
    Life = std::min(LongestLife, milliseconds(*KeepFor) / 2);
  List.push_back({std::move(Connection), Now, Now + Life});
}

void TargetPool::sweep(core::BootTime Now) {
  for (auto &[Id, List] : Idle)
    std::erase_if(List, [&](const Kept &K) { return Now >= K.Until; });
  std::erase_if(Idle, [](const auto &Item) { return Item.second.empty(); });
}

} // namespace rosemarylane
