#include "http/ConnectionShares.h"

#include <algorithm>
#include <sys/resource.h>

namespace rosemarylane::http {

namespace {

/// Descriptors that are no connections.
constexpr std::size_t MaxFiles = 200;
constexpr std::size_t FilesDivisor = 8;
constexpr std::size_t MinReadiness = 4;
constexpr std::size_t MaxReadiness = 64;
constexpr std::size_t ReadinessDivisor = 32;
constexpr std::size_t MinPeers = 16;
constexpr std::size_t MaxPeers = 256;
constexpr std::size_t PeersDivisor = 8;
/// The share of the process's own connections.
constexpr std::size_t OutgoingDivisor = 4;
constexpr std::size_t MaxCallers = 4096;
/// If the system doesn't tell.
constexpr std::size_t UsualDescriptors = 1024;

} // namespace

ConnectionShares ConnectionShares::of(std::size_t Descriptors) {
  std::size_t Sockets =
      Descriptors - std::min(MaxFiles, Descriptors / FilesDivisor);
  ConnectionShares Result;
  Result.Readiness =
      std::clamp(Sockets / ReadinessDivisor, MinReadiness, MaxReadiness);
  Result.Peers = std::clamp(Sockets / PeersDivisor, MinPeers, MaxPeers);
  std::size_t Others =
      Result.Readiness + Result.Peers + Sockets / OutgoingDivisor;
  Result.Callers = std::clamp<std::size_t>(Sockets - std::min(Sockets, Others),
                                           1, MaxCallers);
  return Result;
}

std::size_t processDescriptorLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return UsualDescriptors;
  return static_cast<std::size_t>(Limit.rlim_cur);
}

} // namespace rosemarylane::http
