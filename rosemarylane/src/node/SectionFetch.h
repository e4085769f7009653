#ifndef ROSEMARYLANE_NODE_SECTION_FETCH_H
#define ROSEMARYLANE_NODE_SECTION_FETCH_H

#include "node/HttpClient.h"
#include "node/SectionCopies.h"
#include "platform/Records.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace rosemarylane {

/// Reads a peer's copy of a section. \p Client has to outlive the call.
/// @param Address `IP:port` of the peer.
/// @param Source IP address of the peer; for the log.
/// @param Compressed whether the peer can compress values.
/// @return nothing if the peer has no copy, or it did not arrive whole.
boost::asio::awaitable<std::optional<SectionRead>>
fetchSection(HttpClient &Client, platform::Section Which, std::string Address,
             std::string Source, bool Compressed);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_SECTION_FETCH_H
