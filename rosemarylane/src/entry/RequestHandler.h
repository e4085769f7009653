#ifndef ROSEMARYLANE_ENTRY_REQUEST_HANDLER_H
#define ROSEMARYLANE_ENTRY_REQUEST_HANDLER_H

#include "common/ConfigurationService.h"
#include "common/ProcessContext.h"
#include "entry/AttemptClient.h"
#include "entry/LedgerService.h"
#include "entry/MembershipService.h"
#include "http/Exchange.h"

#include <functional>
#include <memory>

namespace rosemarylane {

/// Takes callers' requests: checks, admits, chooses a target, retries what may
/// be retried, and answers truly.
///
/// In every entry, on the control duty.
class RequestHandler {
public:
  /// The parts that it works with; all outlive it.
  struct Parts {
    ProcessContext &Context;
    ConfigurationService &Configuration;
    MembershipService &Members;
    LedgerService &Ledger;
    AttemptClient &Attempts;
  };

  static std::unique_ptr<RequestHandler> create(Parts With);
  virtual ~RequestHandler() = default;

  /// Answers one request on `/v1/...`.
  virtual void handle(std::shared_ptr<http::Exchange> Call) = 0;

  /// Sets the number of live entries, among which rates over the whole fleet
  /// are shared out.
  virtual void setLiveEntries(std::size_t Count) = 0;

  /// Calls \p Idle once no request is in progress. Requests that still come are
  /// served.
  virtual void whenIdle(std::function<void()> Idle) = 0;

  virtual std::size_t inProgress() const = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_REQUEST_HANDLER_H
