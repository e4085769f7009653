#ifndef ROSEMARYLANE_ENTRY_ADMIN_API_H
#define ROSEMARYLANE_ENTRY_ADMIN_API_H

#include "common/ConfigurationService.h"
#include "common/ProcessContext.h"
#include "entry/ConfigurationWriter.h"
#include "http/Exchange.h"
#include "wire/wire.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylane {

/// State of one process of the fleet, as known to this entry.
struct MemberStatus {
  wire::Sender Member;
  std::uint64_t Revision = 0;
  bool Draining = false;
  bool Alive = true;
  std::vector<wire::Holding> Holdings;
};

/// Serves the operators' HTTP API under `/admin/v1`.
///
/// Reads the catalogue, the history of configuration changes and the state of
/// the fleet, and changes the configuration in the platform's store. Each entry
/// process has one, which must outlive the requests it handles. Use it on the
/// control duty only.
class AdminApi {
public:
  using StatusSource = std::function<std::vector<MemberStatus>()>;
  using FenceSource =
      std::function<std::optional<WriteFence>(std::uint64_t Met)>;

  /// @param Context outlives the API, as \p Configuration does.
  /// @param Status returns the current state of all known processes.
  /// @param Fence for writes to the store; see `ConfigurationWriter::Sources`.
  static std::unique_ptr<AdminApi> create(ProcessContext &Context,
                                          ConfigurationService &Configuration,
                                          StatusSource Status,
                                          FenceSource Fence);
  virtual ~AdminApi() = default;

  /// Answers one request whose path starts with `/admin/v1`, now or once the
  /// store has replied.
  virtual void handle(std::shared_ptr<http::Exchange> Call) = 0;

  /// Writes the configuration in force to the store again if the store is
  /// behind it, as after a restore.
  virtual void writeAgain() = 0;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_ENTRY_ADMIN_API_H
