#ifndef ROSEMARYLANE_STORE_STORE_ERRORS_H
#define ROSEMARYLANE_STORE_STORE_ERRORS_H

#include "http/Error.h"
#include "http/Message.h"
#include "store/KeyValue.h"

#include <optional>

namespace rosemarylane::store {

/// Whether a call changes what the service holds.
enum class CallKind { Read, Write };

/// Turns a failed exchange into the store's error: a write that may have
/// arrived is `Unknown`, a read never is.
StoreError toStoreError(CallKind Kind, const http::Error &Failure);

/// @return the error that an answer's status stands for, none for 200.
std::optional<StoreError> statusError(CallKind Kind,
                                      const http::Response &Answer);

/// An answer that cannot be understood.
StoreError malformedAnswer(CallKind Kind, std::string Detail);

} // namespace rosemarylane::store

#endif // ROSEMARYLANE_STORE_STORE_ERRORS_H
