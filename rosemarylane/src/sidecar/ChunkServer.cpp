#include "sidecar/ChunkServer.h"

#include "core/BootClock.h"
#include "sidecar/PeerPaths.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <optional>
#include <string_view>
#include <vector>

namespace rosemarylane {

namespace asio = boost::asio;
using core::BootClock;
using core::BootTime;
using std::chrono::milliseconds;

namespace {

/// Longest time for which this host, asked as the reader of its region or of
/// the fleet, holds a peer's request until it has the chunk. Shorter than the
/// asking host's `swarm::PlannerSettings::RequestTimeout`.
constexpr milliseconds ReaderWaitTimeout{1300};
constexpr milliseconds ReaderPollPeriod{15};
/// Peers of the failure domain are refused a chunk while this many responses
/// wait: another holder sends it sooner.
constexpr std::size_t MaxWaitingPeerResponses = 2;

std::vector<std::string_view> split(std::string_view Text) {
  std::vector<std::string_view> Parts;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('/'), Text.size());
    Parts.push_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Parts;
}

std::uint64_t parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

void ChunkServer::handleMessage(const wire::NodeMessage &Message) {
  if (!Message.has_holdings() || Message.holdings().model() != Served.model())
    return;
  const wire::Holdings &Report = Message.holdings();
  if (ChunkFetcher *Fetcher = Versions.fetcher(Report.version()))
    Fetcher->recordPeerHoldings(Message.sender().ip(), Report);
  auto Chunks = Versions.chunks(Report.version());
  if (!Report.tell() || !Chunks)
    return;
  wire::NodeMessage HoldingsReply;
  wire::Holdings *Own = HoldingsReply.mutable_holdings();
  Own->set_model(Served.model());
  Own->set_version(Report.version());
  Own->set_chunks(Chunks->held().bytes());
  Link.send(Message.sender().ip(), std::move(HoldingsReply));
}

asio::awaitable<http::Response> ChunkServer::handleRequest(std::string Path) {
  http::Response Reply;
  Reply.Head.Status = 404;
  bool ForManifest = Path.starts_with(ManifestsPath);
  std::string_view Rest = std::string_view(Path).substr(
      ForManifest ? ManifestsPath.size() : ChunksPath.size());
  auto Parts = split(Rest);
  if (Parts.size() < 2 || Parts[0] != http::encodeSegment(Served.model()))
    co_return Reply;
  // Keeps the chunks alive while one of them is waited for.
  std::shared_ptr<VersionChunks> Chunks =
      Versions.chunks(parseNumber(Parts[1]));
  if (!Chunks)
    co_return Reply;
  if (ForManifest) {
    Reply.Head.Status = 200;
    for (const core::Digest &D : Chunks->manifest().Chunks)
      Reply.Body += D.bytes();
    co_return Reply;
  }
  if (Parts.size() < 4 || parseNumber(Parts[2]) >= Chunks->size())
    co_return Reply;
  std::size_t Index = parseNumber(Parts[2]);
  // "held" asks only for a chunk that this host holds already; "region" and
  // "fleet" ask it as a reader, which fetches the chunk.
  bool IsReader = Parts[3] != "held";
  if (IsReader && !Chunks->has(Index))
    co_await awaitChunk(*Chunks, Index, Parts[3] == "fleet");
  ChunkFetcher *Fetcher = Versions.fetcher(Chunks->manifest().Version);
  std::optional<milliseconds> FailureAge;
  if (IsReader && Fetcher)
    FailureAge = Fetcher->originFailureAge();
  if (!Chunks->has(Index) && FailureAge) {
    Reply.Head.Status = OriginUnreachableStatus;
    Reply.Head.Fields.add(std::string(OriginFailureAgeField),
                          std::to_string(FailureAge->count()));
  }
  if (!Chunks->has(Index))
    co_return Reply;
  if (!IsReader && WaitingResponses() >= MaxWaitingPeerResponses) {
    Reply.Head.Status = BusyStatus;
    co_return Reply;
  }
  Reply.Head.Status = 200;
  Reply.Body = Chunks->bytes(Index);
  co_return Reply;
}

asio::awaitable<void> ChunkServer::awaitChunk(VersionChunks &Chunks,
                                              std::size_t Index,
                                              bool AsFleetReader) {
  ChunkFetcher *Fetcher = Versions.fetcher(Chunks.manifest().Version);
  if (!Fetcher)
    co_return;
  Fetcher->recordDemand(Index, AsFleetReader);
  BootTime WaitUntil = BootClock::now() + ReaderWaitTimeout;
  asio::steady_timer Timer(Loop);
  while (!Chunks.has(Index) && BootClock::now() < WaitUntil) {
    Timer.expires_after(ReaderPollPeriod);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

} // namespace rosemarylane
