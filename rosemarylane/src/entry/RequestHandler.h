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

/// Handles callers' requests: authenticates and admits them, chooses their
/// targets, retries attempts where that is safe, and answers.
///
/// A refusal states that the request did not run only if that is certain. Each
/// entry process has one. Use it on the control duty only.
class RequestHandler {
public:
  /// Services that the handler uses; all must outlive it.
  struct Dependencies {
    ProcessContext &Context;
    ConfigurationService &Configuration;
    MembershipService &Members;
    LedgerService &Ledger;
    AttemptClient &Attempts;
  };

  static std::unique_ptr<RequestHandler> create(Dependencies Services);
  virtual ~RequestHandler() = default;

  /// Answers one request for `/v1/...`.
  virtual void handle(std::shared_ptr<http::Exchange> Call) = 0;

  /// Sets the number of live entries, which divides rate limits that apply to
  /// the whole fleet.
  virtual void setLiveEntries(std::size_t Count) = 0;

  /// Calls \p Idle once no request is in progress. Requests that arrive in the
  /// meantime are still served.
  virtual void whenIdle(std::function<void()> Idle) = 0;

  virtual std::size_t inProgress() const = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_REQUEST_HANDLER_H
