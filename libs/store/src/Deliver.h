#ifndef ROSEMARYLANE_STORE_DELIVER_H
#define ROSEMARYLANE_STORE_DELIVER_H

#include "core/Result.h"
#include "runtime/Duty.h"
#include "store/KeyValue.h"

#include <functional>
#include <memory>
#include <utility>

namespace rosemarylane::store {

/// Calls \p OnDone with \p Outcome on \p Deliver.
template <typename T>
void deliver(runtime::Duty &Deliver,
             std::function<void(core::Result<T, StoreError>)> OnDone,
             core::Result<T, StoreError> Outcome) {
  // Shared, since a task is copyable and the value may be large.
  auto Shared =
      std::make_shared<core::Result<T, StoreError>>(std::move(Outcome));
  Deliver.postAlways(
      [OnDone = std::move(OnDone), Shared] { OnDone(std::move(*Shared)); });
}

} // namespace rosemarylane::store

#endif // ROSEMARYLANE_STORE_DELIVER_H
