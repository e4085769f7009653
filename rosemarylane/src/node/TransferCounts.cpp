#include "node/TransferCounts.h"

#include "telemetry/Log.h"

#include <chrono>
#include <string>

namespace rosemarylane {

TransferCounts::Counts &TransferCounts::countsOf(std::string_view Kind,
                                                 core::BootTime Now) {
  if (Since == core::BootTime())
    Since = Now;
  if (Now - Since >= LogPeriod) {
    log(std::chrono::duration_cast<std::chrono::milliseconds>(Now - Since));
    ByKind.clear();
    Since = Now;
  }
  return ByKind[Kind];
}

void TransferCounts::sent(std::string_view Kind, std::size_t Bytes,
                          core::BootTime Now) {
  Counts &Of = countsOf(Kind, Now);
  ++Of.SentMessages;
  Of.SentBytes += static_cast<std::int64_t>(Bytes);
}

void TransferCounts::received(std::string_view Kind, std::size_t Bytes,
                              Place From, core::BootTime Now) {
  Counts &Of = countsOf(Kind, Now);
  ++Of.ReceivedMessages;
  Of.ReceivedBytes += static_cast<std::int64_t>(Bytes);
  if (From == Place::OtherDomain)
    Of.OtherDomainBytes += static_cast<std::int64_t>(Bytes);
}

void TransferCounts::failed(std::string_view Kind, std::size_t Bytes,
                            core::BootTime Now) {
  Counts &Of = countsOf(Kind, Now);
  ++Of.FailedCalls;
  Of.FailedBytes += static_cast<std::int64_t>(Bytes);
}

void TransferCounts::log(std::chrono::milliseconds Period) const {
  for (const auto &[Kind, Of] : ByKind)
    telemetry::log(telemetry::Level::Info, "transfers",
                   {{"channel", std::string(Channel)},
                    {"kind", std::string(Kind)},
                    {"ms", std::int64_t(Period.count())},
                    {"sent", Of.SentMessages},
                    {"sent_bytes", Of.SentBytes},
                    {"received", Of.ReceivedMessages},
                    {"received_bytes", Of.ReceivedBytes},
                    {"other_domain_bytes", Of.OtherDomainBytes},
                    {"failed", Of.FailedCalls},
                    {"failed_bytes", Of.FailedBytes}});
}

} // namespace rosemarylane
