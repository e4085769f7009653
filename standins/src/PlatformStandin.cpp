#include "PlatformStandin.h"

#include <boost/json/value.hpp>

namespace rosemarylane::standins {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds ProgressInterval{400};

} // namespace

PlatformStandin::PlatformStandin(runtime::Duty &On, PlatformSettings Settings)
    : Standin(On), Hosts(std::move(Settings.Hosts)),
      Origin(
          Settings.OriginBytesPerSecond,
          [this](std::chrono::nanoseconds Delay, std::function<void()> Work) {
            after(Delay, std::move(Work));
          }) {
  after(ProgressInterval, [this] { notifyProgress(); });
}

void PlatformStandin::notifyProgress() {
  // A store that is down or silent tells its watches nothing either.
  bool Down = Switches.Silent || Switches.Outage;
  if (!Down || !Switches.applyTo("/v3/watch"))
    KeyValue.notifyProgress();
  after(ProgressInterval, [this] { notifyProgress(); });
}

void PlatformStandin::handle(const Exchange &Call) {
  const std::string &Target = Call->request().Target;
  if (Target == "/v1/hosts")
    return handleHosts(Call);
  if (Target.starts_with("/v3/") && KeyValue.handle(Call, bodyOf(Call)))
    return;
  if (Origin.handle(Call, Switches))
    return;
  refuse(Call, 404, "no such path");
}

void PlatformStandin::handleHosts(const Exchange &Call) {
  if (Call->request().Method == "PUT") {
    (void)bodyOf(Call).at("hosts").as_array();
    Hosts = Call->request().Body;
  }
  ++HostListReads;
  Call->respond(http::jsonResponse(200, Hosts));
}

json::object PlatformStandin::counters() const {
  json::object All = KeyValue.counters();
  for (const auto &Counter : Origin.counters())
    All.insert(Counter);
  All["host_list_reads"] = HostListReads;
  return All;
}

void PlatformStandin::setOwnFaults(const json::object &Settings) {
  if (const json::value *Version = Settings.if_contains("swap_version"))
    Origin.swapVersion(std::string(Version->as_string()));
  if (Settings.contains("copy_store"))
    KeyValue.copy();
  if (Settings.contains("restore_store"))
    KeyValue.restore();
  if (Switches.Outage && Switches.applyTo("/v3/watch"))
    KeyValue.dropWatches();
}

} // namespace rosemarylane::standins
