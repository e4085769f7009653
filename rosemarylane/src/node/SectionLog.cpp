#include "node/SectionLog.h"

#include "telemetry/Log.h"

#include <chrono>
#include <cstdint>
#include <utility>

namespace rosemarylane {

using core::BootClock;
using core::BootTime;
using platform::Section;
using serving::StorePosition;
using std::chrono::milliseconds;

namespace {

/// Complete transfers of a section's body that took less time are not logged.
constexpr milliseconds LoggedTransferTime{100};

} // namespace

const char *nameOf(Section Which) {
  return Which == Section::Operators ? "operators" : "registry";
}

std::function<void(const HttpClient::BodyTransfer &)>
transferLog(Section Which, std::string Source, BootTime Sent) {
  return [Which, Source = std::move(Source),
          Sent](const HttpClient::BodyTransfer &Body) {
    auto Time = std::chrono::duration_cast<milliseconds>(Body.Time);
    if (Body.Complete && Time < LoggedTransferTime)
      return;
    auto SinceSent =
        std::chrono::duration_cast<milliseconds>(BootClock::now() - Sent);
    telemetry::log(telemetry::Level::Info, "section transferred",
                   {{"section", std::string(nameOf(Which))},
                    {"source", Source},
                    {"bytes", std::int64_t(Body.Bytes)},
                    {"body_ms", std::int64_t(Time.count())},
                    {"ms", std::int64_t(SinceSent.count())},
                    {"complete", Body.Complete}});
  };
}

void logFailedRead(Section Which, const std::string &Source,
                   const http::Error &Error, BootTime Sent) {
  auto SinceSent =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - Sent);
  telemetry::log(telemetry::Level::Warning, "section not read",
                 {{"section", std::string(nameOf(Which))},
                  {"source", Source},
                  {"ms", std::int64_t(SinceSent.count())},
                  {"error", Error.Detail}});
}

void logStoreRestored(Section Which, StorePosition Before, StorePosition After,
                      std::size_t Retained, std::size_t HeldBack) {
  telemetry::log(telemetry::Level::Warning, "store restored",
                 {{"section", std::string(nameOf(Which))},
                  {"era_before", std::int64_t(Before.Era)},
                  {"store_revision_before", Before.Revision},
                  {"era", std::int64_t(After.Era)},
                  {"store_revision", After.Revision},
                  {"retained", std::int64_t(Retained)},
                  {"held_back", std::int64_t(HeldBack)}});
}

void logRefusedRead(Section Which, const std::string &Source,
                    StorePosition Known, StorePosition Read) {
  telemetry::log(telemetry::Level::Warning, "section refused as older",
                 {{"section", std::string(nameOf(Which))},
                  {"source", Source},
                  {"era", std::int64_t(Read.Era)},
                  {"store_revision", Read.Revision},
                  {"known_era", std::int64_t(Known.Era)},
                  {"known_store_revision", Known.Revision}});
}

} // namespace rosemarylane
