#ifndef ROSEMARYLANE_CORE_RESULT_H
#define ROSEMARYLANE_CORE_RESULT_H

#include <tl/expected.hpp>

namespace rosemarylane::core {

/// The return value of a fallible function: a value, or the error that
/// prevented it from being created.
///
/// Each layer defines its own error type and converts errors of the layer
/// below.
template <typename T, typename E> using Result = tl::expected<T, E>;

/// Wraps \p Error for return from a function that returns a `Result`.
template <typename E> tl::unexpected<E> failure(E Error) {
  return tl::unexpected<E>(std::move(Error));
}

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_RESULT_H
