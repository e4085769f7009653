#ifndef ROSEMARYLANE_STANDINS_PLATFORM_STANDIN_H
#define ROSEMARYLANE_STANDINS_PLATFORM_STANDIN_H

#include "KeyValueStandin.h"
#include "OriginStandin.h"
#include "Standin.h"

#include <string>

namespace rosemarylane::standins {

/// Settings of the platform's stand-in.
struct PlatformSettings {
  /// The host list's first answer, as JSON.
  std::string Hosts = R"({"hosts":[]})";
  /// 0 for no limit.
  std::uint64_t OriginBytesPerSecond = 0;
};

/// The platform: key-value service, host list and origin on one address.
class PlatformStandin : public Standin {
public:
  PlatformStandin(runtime::Duty &On, PlatformSettings Settings);

protected:
  void handle(const Exchange &Call) override;
  boost::json::object counters() const override;
  void setOwnFaults(const boost::json::object &Settings) override;

private:
  void handleHosts(const Exchange &Call);
  void notifyProgress();

  std::string Hosts;
  KeyValueStandin KeyValue;
  OriginStandin Origin;
  std::uint64_t HostListReads = 0;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_PLATFORM_STANDIN_H
