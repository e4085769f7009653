#ifndef ROSEMARYLANE_SERVING_ROUTE_TIMES_H
#define ROSEMARYLANE_SERVING_ROUTE_TIMES_H

#include "serving/ServingConfig.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace rosemarylane::serving {

/// How long the requests of each route take at their targets: a moving average
/// over complete responses.
///
/// Value type without a clock of its own; not thread-safe.
class RouteTimes {
public:
  using Milliseconds = std::chrono::duration<double, std::milli>;

  /// @param Time from the sending of the request to the end of its response.
  void record(const Route &Of, Milliseconds Time) {
    constexpr double Weight = 0.1;
    auto [Known, IsNew] = Averages.try_emplace(keyOf(Of), Time);
    if (!IsNew)
      Known->second += Weight * (Time - Known->second);
  }

  /// @return the expected time of a request; 0 if none has ended yet.
  Milliseconds expected(const Route &Of) const {
    auto Known = Averages.find(keyOf(Of));
    return Known == Averages.end() ? Milliseconds(0) : Known->second;
  }

  /// Forgets the routes that are not in \p Config.
  void keepOnly(const ServingConfig &Config) {
    std::map<Key, Milliseconds> Kept;
    for (const Route &R : Config.Routes)
      if (auto Known = Averages.find(keyOf(R)); Known != Averages.end())
        Kept.insert(*Known);
    Averages = std::move(Kept);
  }

private:
  /// Host name and prefix.
  using Key = std::pair<std::string, std::string>;

  static Key keyOf(const Route &R) { return {R.HostName, R.Prefix}; }

  std::map<Key, Milliseconds> Averages;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_ROUTE_TIMES_H
