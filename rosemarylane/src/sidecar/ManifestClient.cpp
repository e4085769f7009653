#include "sidecar/ManifestClient.h"

#include "sidecar/PeerPaths.h"
#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string_view>

namespace rosemarylane {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds ManifestTimeout{600};
/// Limit of the size of a manifest, which has 67 bytes for each chunk.
constexpr std::size_t MaxManifestBytes = 1 << 20;
/// Requests for the manifest to the first host in the version's rendezvous
/// ranking of the members, before other hosts and the origin are asked. A
/// request answered by 404 is followed by `ManifestRetryDelay`.
constexpr std::size_t FirstHostManifestAttempts = 4;
/// Limit of other hosts that are asked once the first host has not supplied the
/// manifest.
constexpr std::size_t MaxFallbackManifestPeers = 2;
constexpr milliseconds ManifestRetryDelay{80};

void logFailure(std::uint64_t Version, const std::string &Source,
                const std::string &Reason) {
  telemetry::log(telemetry::Level::Warning, "manifest not had",
                 {{"version", std::int64_t(Version)},
                  {"source", Source},
                  {"error", Reason}});
}

} // namespace

asio::awaitable<std::optional<platform::OriginManifest>>
ManifestClient::fetch(std::uint64_t Version) {
  std::vector<std::string> Sources = sources(Version);
  for (const std::string &Address : Sources) {
    auto Found = co_await fetchFrom(Address, Version);
    if (Found)
      co_return Found;
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<platform::OriginManifest>>
ManifestClient::fetchFrom(std::string Address, std::uint64_t Version) {
  bool FromOrigin = Address == Served.originAddress();
  HttpClient::Call Call = manifestCall(Version, FromOrigin);
  Call.Kind = FromOrigin ? "manifest from the origin" : "manifest from a peer";
  auto Reply = co_await Calls.exchange(Address, std::move(Call));
  if (!Reply) {
    logFailure(Version, Address, Reply.error().Detail);
    co_return std::nullopt;
  }
  if (Reply->Head.Status != 200)
    logFailure(Version, Address,
               "status " + std::to_string(Reply->Head.Status));
  if (Reply->Head.Status == 404) {
    asio::steady_timer Timer(Loop, ManifestRetryDelay);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return std::nullopt;
  }
  std::optional<platform::OriginManifest> Found =
      decode(*Reply, Version, FromOrigin);
  if (!Found || Found->Version != Version || Found->Chunks.empty())
    co_return std::nullopt;
  co_return Found;
}

std::vector<std::string> ManifestClient::sources(std::uint64_t Version) {
  std::vector<swarm::EngineHost> Ranked = Served.rankedMembers(Version);
  bool IsFirst = Ranked.empty() || Ranked.front().Host.str() == Settings.Ip;
  if (IsFirst)
    return {Served.originAddress()};
  std::vector<std::string> Result(FirstHostManifestAttempts,
                                  peerAddress(Ranked.front()));
  std::vector<swarm::EngineHost> Others;
  for (const swarm::EngineHost &H : Ranked)
    if (H.Host.str() != Settings.Ip)
      Others.push_back(H);
  std::shuffle(Others.begin(), Others.end(), Random);
  std::size_t Fallbacks = std::min(MaxFallbackManifestPeers, Others.size());
  for (std::size_t I = 0; I < Fallbacks; ++I)
    Result.push_back(peerAddress(Others[I]));
  Result.push_back(Served.originAddress());
  return Result;
}

std::string ManifestClient::peerAddress(const swarm::EngineHost &H) const {
  return H.Host.str() + ":" + std::to_string(Settings.PeerPort);
}

HttpClient::Call ManifestClient::manifestCall(std::uint64_t Version,
                                              bool FromOrigin) const {
  HttpClient::Call Call;
  if (FromOrigin) {
    Call.Request = platform::manifestRequest(Served.model(), Version);
  } else {
    Call.Request.Method = "GET";
    Call.Request.Target = manifestPath(Served.model(), Version);
  }
  Call.Timeout = ManifestTimeout; // A duration.
  Call.MaxBodyBytes = MaxManifestBytes;
  return Call;
}

std::optional<platform::OriginManifest>
ManifestClient::decode(const http::Response &Reply, std::uint64_t Version,
                       bool FromOrigin) const {
  if (FromOrigin) {
    auto Decoded = platform::decodeManifest(Reply);
    if (!Decoded)
      return std::nullopt;
    return std::move(*Decoded);
  }
  if (Reply.Head.Status != 200)
    return std::nullopt;
  return decodePeerManifest(Reply.Body, Version);
}

platform::OriginManifest
ManifestClient::decodePeerManifest(const std::string &Body,
                                   std::uint64_t Version) const {
  platform::OriginManifest Result;
  Result.Model = Served.model();
  Result.Version = Version;
  for (std::size_t At = 0; At + core::Digest::Size <= Body.size();
       At += core::Digest::Size)
    if (auto D = core::Digest::fromBytes(
            std::string_view(Body).substr(At, core::Digest::Size)))
      Result.Chunks.push_back(*D);
  return Result;
}

} // namespace rosemarylane
