#ifndef ROSEMARYLANE_STANDINS_RELAY_H
#define ROSEMARYLANE_STANDINS_RELAY_H

#include "core/Result.h"
#include "http/Error.h"
#include "runtime/Duty.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace rosemarylane::standins {

/// Settings of a relay.
struct RelaySettings {
  /// `IP:port`; further pairs take the ports after it.
  std::string Listen;
  std::string To;
  /// Address of `/faults`; empty for none.
  std::string Control;
  /// Pairs of ports.
  int Count = 1;
  /// Each way, shared by all connections; 0 for no limit.
  std::uint64_t BytesPerSecond = 0;
  /// Each way.
  std::chrono::milliseconds Delay{0};
};

/// Passes TCP bytes on between two addresses, as the network between them, with
/// faults to switch on.
///
/// `POST /faults` takes `cut` (connections are closed and refused), `freeze`
/// (no byte passes while it is set), `silent_existing` (connections open now
/// pass no byte any more), `rate` (bytes per second each way) and `delay_ms`.
/// Lives on one duty; dropped off it or after it stopped.
class Relay {
public:
  static core::Result<std::unique_ptr<Relay>, http::Error>
  start(runtime::Duty &On, const RelaySettings &Settings);
  ~Relay();

  /// @return bytes that came back so far from the called side. Any thread.
  std::uint64_t returnedBytes() const;

  struct State;

private:
  explicit Relay(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_RELAY_H
