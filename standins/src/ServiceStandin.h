#ifndef ROSEMARYLANE_STANDINS_SERVICE_STANDIN_H
#define ROSEMARYLANE_STANDINS_SERVICE_STANDIN_H

#include "Standin.h"

#include <map>
#include <string>

namespace rosemarylane::standins {

/// A plain service that runs each call once when it arrives, and counts.
class ServiceStandin : public Standin {
public:
  /// @param Latency how long a run takes.
  ServiceStandin(runtime::Duty &On, std::chrono::nanoseconds Latency)
      : Standin(On), Latency(Latency) {}

protected:
  void handle(const Exchange &Call) override;
  boost::json::object counters() const override;

private:
  void run(const Exchange &Call);
  boost::json::object runs() const;

  std::chrono::nanoseconds Latency;
  std::map<std::string, std::uint64_t> RunsByKey;
  std::uint64_t Total = 0;
  std::uint64_t Running = 0;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_SERVICE_STANDIN_H
