#ifndef ROSEMARYLANE_STORE_HOST_LIST_H
#define ROSEMARYLANE_STORE_HOST_LIST_H

#include "core/Ids.h"
#include "core/Result.h"
#include "runtime/Duty.h"
#include "store/KeyValue.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane::store {

/// What a host runs.
enum class HostRole { Entry, Agent };

/// One line of the platform's list, which lags behind the truth.
struct ListedHost {
  core::HostId Host;
  HostRole Role = HostRole::Entry;
  core::RegionId Region;
  core::FailureDomainId FailureDomain;
  /// `IP:port` at which its process answers peers.
  std::string PeerAddress;
  /// The platform is about to take the host away.
  bool Leaving = false;
};

/// The platform's list of live and leaving hosts: `GET /v1/hosts` with
/// `{"hosts": [{"host", "role", "region", "failure_domain", "address",
/// "state"}]}`.
class HostList {
public:
  using Hook =
      std::function<void(core::Result<std::vector<ListedHost>, StoreError>)>;

  /// @param Io owns the sockets.
  /// @param Deliver runs the hooks. Both outlive the client.
  static std::unique_ptr<HostList>
  create(runtime::Duty &Io, runtime::Duty &Deliver, std::string Address);
  virtual ~HostList() = default;

  /// Reads the list once. From any thread.
  virtual void read(Hook OnDone) = 0;
};

} // namespace rosemarylane::store

#endif // ROSEMARYLANE_STORE_HOST_LIST_H
