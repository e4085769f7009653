#ifndef ROSEMARYLANE_NODE_SECTION_LOG_H
#define ROSEMARYLANE_NODE_SECTION_LOG_H

#include "core/BootClock.h"
#include "http/Error.h"
#include "node/HttpClient.h"
#include "platform/Records.h"
#include "serving/StorePosition.h"

#include <cstddef>
#include <functional>
#include <string>

namespace rosemarylane {

/// Log lines about reading a section of the store, from the store or a peer.
/// `Source` is `store`, or the IP address of the peer.

/// @return the name of a section in the log.
const char *nameOf(platform::Section Which);

/// @return a hook that logs the transfer of a section if it failed, or took
/// noticeable time.
/// @param Sent when the request was sent.
std::function<void(const HttpClient::BodyTransfer &)>
transferLog(platform::Section Which, std::string Source, core::BootTime Sent);

/// @param Sent when the read began.
void logFailedRead(platform::Section Which, const std::string &Source,
                   const http::Error &Error, core::BootTime Sent);

/// Logs that the store has come back from an older copy.
/// @param Retained items that this process keeps although the store does not
/// show them.
/// @param HeldBack items that the store shows and that this process does not
/// use.
void logStoreRestored(platform::Section Which, serving::StorePosition Before,
                      serving::StorePosition After, std::size_t Retained,
                      std::size_t HeldBack);

/// Logs that a read is refused, as it is older than this process's copy.
void logRefusedRead(platform::Section Which, const std::string &Source,
                    serving::StorePosition Known, serving::StorePosition Read);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_SECTION_LOG_H
