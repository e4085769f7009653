#ifndef ROSEMARYLANE_STANDINS_STANDIN_H
#define ROSEMARYLANE_STANDINS_STANDIN_H

#include "Faults.h"
#include "FaultyExchange.h"
#include "http/Server.h"
#include "runtime/Duty.h"

#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylane::standins {

/// One stand-in on one duty: a service with a fault switch before it.
///
/// `/faults` sets and shows the faults; `/v1/counters` and
/// `/control/v1/runs` are always answered.
class Standin {
public:
  virtual ~Standin() = default;

  /// Takes a call, with its faults.
  void receive(const std::shared_ptr<http::Exchange> &Call);

protected:
  using Exchange = std::shared_ptr<http::Exchange>;

  explicit Standin(runtime::Duty &On) : On(On) {}

  virtual void handle(const Exchange &Call) = 0;
  virtual boost::json::object counters() const = 0;
  /// Reads the faults of this kind of stand-in alone.
  virtual void setOwnFaults(const boost::json::object &Settings);

  /// Runs \p Work on the duty after \p Delay, at once if there is none.
  void after(std::chrono::nanoseconds Delay, std::function<void()> Work);

  static void answer(const Exchange &Call, const boost::json::object &Body);
  static void refuse(const Exchange &Call, unsigned Status,
                     const std::string &Detail);
  static boost::json::object bodyOf(const Exchange &Call);

  Faults Switches;

private:
  void receiveFaults(const Exchange &Call);
  void receiveFaulty(const Exchange &Call);

  runtime::Duty &On;
  SilentUpTo Silent = std::make_shared<std::uint64_t>(0);
  std::uint64_t LastConnection = 0;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_STANDIN_H
