#ifndef ROSEMARYLANE_STORE_ETCD_KEY_VALUE_H
#define ROSEMARYLANE_STORE_ETCD_KEY_VALUE_H

#include "runtime/Duty.h"
#include "store/KeyValue.h"

#include <chrono>
#include <string>

namespace rosemarylane::store {

/// Settings of the client of a key-value service that speaks etcd v3's JSON
/// gateway.
struct EtcdSettings {
  /// `IP:port` of the service.
  std::string Address;
  std::chrono::milliseconds CallDeadline{1000};
  /// A watch that brings neither a change nor a progress notice for this long
  /// is replaced.
  std::chrono::milliseconds WatchIdle{1500};
};

/// Creates the client.
///
/// Uses `POST /v3/kv/range`, `/v3/kv/txn`, `/v3/kv/deleterange` and `/v3/watch`
/// with base64 keys and values. Watches ask for progress notices, so that a
/// silent connection is found.
/// @param Io owns the sockets, @param Deliver runs the hooks; both outlive the
/// client.
std::unique_ptr<KeyValue> createEtcdKeyValue(runtime::Duty &Io,
                                             runtime::Duty &Deliver,
                                             EtcdSettings Settings);

} // namespace rosemarylane::store

#endif // ROSEMARYLANE_STORE_ETCD_KEY_VALUE_H
