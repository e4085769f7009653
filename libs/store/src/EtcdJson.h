#ifndef ROSEMARYLANE_STORE_ETCD_JSON_H
#define ROSEMARYLANE_STORE_ETCD_JSON_H

#include "store/KeyValue.h"

#include <string>
#include <string_view>
#include <vector>

/// The bodies of etcd v3's JSON gateway that this client uses. Parsers throw
/// `std::exception` on a body of another shape.
namespace rosemarylane::store::etcd_json {

std::string rangeRequest(const std::string &Key);
std::string swapRequest(const std::string &Key, const SwapCondition &Condition,
                        const std::string &Value);
std::string watchRequest(const std::string &Key, std::int64_t FromRevision);

StoredValue parseRange(std::string_view Body);

/// @param Condition that of the request.
/// @param Written the value that the request would write.
SwapOutcome parseSwap(std::string_view Body, const SwapCondition &Condition,
                      const std::string &Written);

/// @return whether the key existed.
bool parseErase(std::string_view Body);

/// One line of a watch's answer.
struct WatchMessage {
  /// The history that the line belongs to; 0 if it does not tell.
  std::uint64_t History = 0;
  /// Changes in order; none in a progress notice.
  std::vector<StoredValue> Changes;
  /// The service has ended the watch.
  bool Cancelled = false;
  std::string Reason;
};

WatchMessage parseWatch(std::string_view Line);

} // namespace rosemarylane::store::etcd_json

#endif // ROSEMARYLANE_STORE_ETCD_JSON_H
