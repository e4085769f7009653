#ifndef ROSEMARYLANE_STANDINS_ORIGIN_STANDIN_H
#define ROSEMARYLANE_STANDINS_ORIGIN_STANDIN_H

#include "Faults.h"
#include "core/Digest.h"
#include "http/Exchange.h"

#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace rosemarylane::standins {

/// The origin of weights: versions of made-up bytes, and one link of a limited
/// rate that all answers share.
class OriginStandin {
public:
  using Exchange = std::shared_ptr<http::Exchange>;
  using After =
      std::function<void(std::chrono::nanoseconds, std::function<void()>)>;

  /// @param BytesPerSecond 0 for no limit.
  OriginStandin(std::uint64_t BytesPerSecond, After RunAfter)
      : BytesPerSecond(BytesPerSecond), RunAfter(std::move(RunAfter)) {}

  /// @return false if \p Call is not the origin's.
  bool handle(const Exchange &Call, Faults &Switches);

  /// Answers the manifest of \p Version with other bytes from now on; none ends
  /// that.
  void swapVersion(std::string Version) { Swapped = std::move(Version); }

  boost::json::object counters() const;

private:
  /// What the bytes of a chunk are made from.
  struct ChunkSeed {
    std::uint64_t Seed = 0;
    std::size_t Bytes = 0;
  };

  void registerVersion(const Exchange &Call);
  void sendManifest(const Exchange &Call, const std::string &Hex);
  void sendChunk(const Exchange &Call, const std::string &Hex, bool Corrupt);
  void send(const Exchange &Call, std::string Body);
  void sendSlice(const Exchange &Call,
                 const std::shared_ptr<const std::string> &Body,
                 std::size_t Offset);
  /// @return how long \p Bytes have to wait for the link.
  std::chrono::nanoseconds reserve(std::size_t Bytes);

  std::uint64_t BytesPerSecond;
  After RunAfter;
  std::unordered_map<std::string, std::string> Manifests;
  std::unordered_map<std::string, ChunkSeed> Chunks;
  std::string Swapped;
  std::chrono::steady_clock::time_point LinkFree;
  std::uint64_t BytesSent = 0;
  std::uint64_t ManifestsSent = 0;
  std::uint64_t ChunksSent = 0;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_ORIGIN_STANDIN_H
