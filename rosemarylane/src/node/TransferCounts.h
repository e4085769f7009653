#ifndef ROSEMARYLANE_NODE_TRANSFER_COUNTS_H
#define ROSEMARYLANE_NODE_TRANSFER_COUNTS_H

#include "core/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace rosemarylane {

/// Counts the bytes of one channel of a process by kind, so that the log tells
/// what fills a link.
///
/// Owned by the channel, which calls it for each message or call; every
/// `LogPeriod`, the next call writes one log line for each kind. Not
/// thread-safe.
class TransferCounts {
public:
  static constexpr std::chrono::milliseconds LogPeriod{5000};

  /// Whether the other end is in the failure domain of this process.
  enum class Place { OwnDomain, OtherDomain, Unknown };

  /// @param Channel name of the channel; for the log.
  explicit TransferCounts(std::string_view Channel) : Channel(Channel) {}

  /// @param Kind what the bytes are. Must outlive this object, and come from a
  /// small fixed set.
  void sent(std::string_view Kind, std::size_t Bytes, core::BootTime Now);
  void received(std::string_view Kind, std::size_t Bytes, Place From,
                core::BootTime Now);
  /// Counts a call that failed, with what was received of its response.
  void failed(std::string_view Kind, std::size_t Bytes, core::BootTime Now);

private:
  struct Counts {
    std::int64_t SentMessages = 0;
    std::int64_t SentBytes = 0;
    std::int64_t ReceivedMessages = 0;
    std::int64_t ReceivedBytes = 0;
    std::int64_t OtherDomainBytes = 0;
    std::int64_t FailedCalls = 0;
    std::int64_t FailedBytes = 0;
  };

  Counts &countsOf(std::string_view Kind, core::BootTime Now);
  void log(std::chrono::milliseconds Period) const;

  std::string_view Channel;
  std::map<std::string_view, Counts> ByKind;
  core::BootTime Since{};
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_TRANSFER_COUNTS_H
