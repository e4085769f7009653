#ifndef ROSEMARYLANE_ENTRY_ADMIN_API_H
#define ROSEMARYLANE_ENTRY_ADMIN_API_H

#include "common/ConfigurationService.h"
#include "common/ProcessContext.h"
#include "http/Exchange.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane {

/// What an entry knows of one process of the fleet.
struct MemberStatus {
  wire::Sender Member;
  std::uint64_t Revision = 0;
  bool Draining = false;
  bool Alive = true;
  std::vector<wire::Holding> Holdings;
};

/// The operators' API under `/admin/v1`. In every entry, on the control duty.
class AdminApi {
public:
  using StatusSource = std::function<std::vector<MemberStatus>()>;

  static std::unique_ptr<AdminApi> create(ProcessContext &Context,
                                          ConfigurationService &Configuration,
                                          StatusSource Status);
  virtual ~AdminApi() = default;

  /// Answers one request whose path starts with `/admin/v1`.
  virtual void handle(std::shared_ptr<http::Exchange> Call) = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_ADMIN_API_H
