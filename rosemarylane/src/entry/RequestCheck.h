#ifndef ROSEMARYLANE_ENTRY_REQUEST_CHECK_H
#define ROSEMARYLANE_ENTRY_REQUEST_CHECK_H

#include "core/Catalogue.h"
#include "core/Result.h"
#include "entry/CallerRequest.h"
#include "entry/Problem.h"

namespace rosemarylane {

/// What the configuration says of a request.
struct CheckedRequest {
  core::Workspace Workspace;
  core::CatalogueEntry Entry;
  /// Whether the request may be run again.
  bool Repeatable = true;
};

/// Finds the workspace and the entry of a request. A workspace sees its own
/// entries only.
core::Result<CheckedRequest, Problem>
checkRequest(const core::Configuration &Config, const CallerRequest &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_REQUEST_CHECK_H
