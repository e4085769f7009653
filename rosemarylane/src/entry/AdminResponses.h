#ifndef ROSEMARYLANE_ENTRY_ADMIN_RESPONSES_H
#define ROSEMARYLANE_ENTRY_ADMIN_RESPONSES_H

#include "core/StoredConfiguration.h"
#include "entry/AdminApi.h"
#include "entry/ConfigurationWriter.h"
#include "http/Message.h"

#include <string>
#include <vector>

namespace rosemarylane {

/// Answers of the administration API.

http::Response catalogueResponse(const core::Configuration &Visible);

/// @param Id the change, found in the history of \p Stored.
http::Response changeResponse(const core::StoredConfiguration &Stored,
                              const std::string &Id);

http::Response refusalResponse(const ChangeRefusal &Refusal,
                               const std::string &ChangeId);

http::Response historyResponse(std::vector<core::ConfigurationChange> History);

/// @param Config the configuration in force at the answering entry.
http::Response statusResponse(const core::Configuration &Config,
                              const std::vector<MemberStatus> &Members);

/// A refusal that changed nothing.
http::Response adminProblem(unsigned Status, const std::string &Title,
                            const std::string &Detail = "");

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_ADMIN_RESPONSES_H
