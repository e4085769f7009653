#ifndef ROSEMARYLANE_STANDINS_COMPLETION_H
#define ROSEMARYLANE_STANDINS_COMPLETION_H

#include <cstddef>
#include <string>
#include <string_view>

namespace rosemarylane::standins {

/// What makes up an engine's answer; a test makes the same to check that an
/// answer is whole and from which version.
struct CompletionSource {
  std::string Model;
  /// The version's digest in hexadecimal digits.
  std::string Version;
  std::string Prompt;
  std::size_t Tokens = 0;

  /// @return token \p Index of the answer: first `MODEL@VERSION:` with twelve
  /// digits of the version, then words made from the prompt and the version.
  std::string token(std::size_t Index) const;

  /// @return all tokens in a row.
  std::string text() const;
};

} // namespace rosemarylane::standins

#endif // ROSEMARYLANE_STANDINS_COMPLETION_H
