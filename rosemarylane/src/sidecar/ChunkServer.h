#ifndef ROSEMARYLANE_SIDECAR_CHUNK_SERVER_H
#define ROSEMARYLANE_SIDECAR_CHUNK_SERVER_H

#include "http/Message.h"
#include "node/PeerSocket.h"
#include "sidecar/ServedModel.h"
#include "sidecar/VersionStore.h"
#include "wire/node.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>

namespace rosemarylane {

/// Serves chunks and manifests to other hosts, and tells them which chunks this
/// host holds.
///
/// Lives as long as the `WeightKeeper` that owns it, and longer than every call
/// of `handleRequest`. Not thread-safe: used only on the thread of the event
/// loop.
class ChunkServer {
public:
  ChunkServer(boost::asio::io_context &Loop, PeerSocket &Link,
              const ServedModel &Served, const VersionStore &Versions)
      : Loop(Loop), Link(Link), Served(Served), Versions(Versions) {}

  /// Sets the hook that counts the responses to peers of the failure domain
  /// that wait for the link. While there are many, a peer is told to ask
  /// another holder of the chunk. Responses to readers don't count: they may be
  /// many, and a peer that has no other holder would never get its turn.
  void onWaitingResponses(std::function<std::size_t()> Hook) {
    WaitingResponses = std::move(Hook);
  }

  /// Handles a peer's report of the chunks that it holds, and replies with this
  /// host's chunks if the peer asks for them; other messages are ignored.
  void handleMessage(const wire::NodeMessage &Message);

  /// Responds to a peer's request for a chunk or manifest. A chunk that this
  /// host is asked for as a reader, and does not hold yet, is waited for.
  /// @param Path begins with `ChunksPath` or `ManifestsPath`.
  boost::asio::awaitable<http::Response> handleRequest(std::string Path);

private:
  boost::asio::awaitable<void>
  awaitChunk(VersionChunks &Chunks, std::size_t Index, bool AsFleetReader);

  boost::asio::io_context &Loop;
  PeerSocket &Link;
  const ServedModel &Served;
  const VersionStore &Versions;
  std::function<std::size_t()> WaitingResponses = [] { return 0; };
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_SIDECAR_CHUNK_SERVER_H
