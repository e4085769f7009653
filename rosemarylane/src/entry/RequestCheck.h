#ifndef ROSEMARYLANE_ENTRY_REQUEST_CHECK_H
#define ROSEMARYLANE_ENTRY_REQUEST_CHECK_H

#include "core/Catalogue.h"
#include "core/Result.h"
#include "entry/CallerRequest.h"
#include "entry/Problem.h"

namespace rosemarylane {

/// A request's workspace and catalogue entry.
struct CheckedRequest {
  core::Workspace Workspace;
  core::CatalogueEntry Entry;
  /// Whether the request may be executed more than once.
  bool Repeatable = true;
};

/// Authenticates a request and looks up its catalogue entry. A workspace has
/// access to its own entries only.
/// @return the problem to answer with if the request is not allowed.
core::Result<CheckedRequest, Problem>
checkRequest(const core::Configuration &Config, const CallerRequest &Request);

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_REQUEST_CHECK_H
