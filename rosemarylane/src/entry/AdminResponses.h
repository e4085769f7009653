#ifndef ROSEMARYLANE_ENTRY_ADMIN_RESPONSES_H
#define ROSEMARYLANE_ENTRY_ADMIN_RESPONSES_H

#include "core/StoredConfiguration.h"
#include "entry/AdminApi.h"
#include "entry/ConfigurationWriter.h"
#include "http/Message.h"

#include <string>
#include <vector>

namespace rosemarylane {

/// Formats the HTTP responses of the administration API.

/// @param Visible the part of the configuration that the caller may see.
http::Response catalogueResponse(const core::Configuration &Visible);

/// @param Id identifies the change, which must be in the history of \p Stored.
http::Response changeResponse(const core::StoredConfiguration &Stored,
                              const std::string &Id);

http::Response refusalResponse(const ChangeRefusal &Refusal,
                               const std::string &ChangeId);

http::Response historyResponse(std::vector<core::ConfigurationChange> History);

/// @param Config configuration in force at the responding entry.
http::Response statusResponse(const core::Configuration &Config,
                              const std::vector<MemberStatus> &Members);

/// Formats a refusal that left the configuration unchanged.
http::Response adminProblem(unsigned Status, const std::string &Title,
                            const std::string &Detail = "");

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_ADMIN_RESPONSES_H
