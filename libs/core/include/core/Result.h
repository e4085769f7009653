#ifndef ROSEMARYLANE_CORE_RESULT_H
#define ROSEMARYLANE_CORE_RESULT_H

#include <tl/expected.hpp>

namespace rosemarylane::core {

/// The value of a factory or parser, or the error that kept it from being made.
///
/// Each layer has its own error type and turns errors of the layer below into
/// its own.
template <typename T, typename E> using Result = tl::expected<T, E>;

/// Wraps an error for return from a function that returns a `Result`.
template <typename E> tl::unexpected<E> failure(E Error) {
  return tl::unexpected<E>(std::move(Error));
}

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_RESULT_H
