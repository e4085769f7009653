#ifndef ROSEMARYLANE_HTTP_CONNECTION_SHARES_H
#define ROSEMARYLANE_HTTP_CONNECTION_SHARES_H

#include <cstddef>

namespace rosemarylane::http {

/// How many connections each listening address of a process may hold, so that a
/// crowd at one leaves the others their descriptors. The rest is for the
/// process's own connections: to targets, peers and the store.
struct ConnectionShares {
  std::size_t Callers = 0;
  std::size_t Peers = 0;
  std::size_t Readiness = 0;

  /// @param Descriptors the most that the process may have open, its files
  /// included.
  static ConnectionShares of(std::size_t Descriptors);
};

/// @return how many descriptors the system lets this process open.
std::size_t processDescriptorLimit();

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_CONNECTION_SHARES_H
