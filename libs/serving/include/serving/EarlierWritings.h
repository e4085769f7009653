#ifndef ROSEMARYLANE_SERVING_EARLIER_WRITINGS_H
#define ROSEMARYLANE_SERVING_EARLIER_WRITINGS_H

#include "core/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// When values that a section held in earlier eras of the store had been
/// written.
///
/// What a restored store lacks is written again, and a version that is named
/// again was named before: its countdown goes on from the first naming. Values
/// are remembered by a digest, in a limited number. Value type without a clock
/// of its own; not thread-safe.
class EarlierWritings {
public:
  static constexpr std::size_t MaxRemembered = 1024;

  /// Records that the store held \p Value at \p HeldAt.
  /// @param ChangedAfter `StoredItem::ChangedAfter` of the item.
  void remember(const std::string &Key, const std::string &Value,
                std::optional<core::BootTime> ChangedAfter,
                core::BootTime HeldAt);

  /// @return whether the store held \p Value in an earlier era.
  bool contains(const std::string &Key, const std::string &Value) const;

  /// @return what was remembered as `ChangedAfter`; absent also if the value is
  /// not known.
  std::optional<core::BootTime> changedAfter(const std::string &Key,
                                             const std::string &Value) const;

  /// @return \p ChangedAfter, unless the store is known to have held \p Value
  /// by then: it then tells of the later writing, and nothing is returned.
  std::optional<core::BootTime>
  ofFirst(const std::string &Key, const std::string &Value,
          std::optional<core::BootTime> ChangedAfter) const;

private:
  struct Writing {
    std::optional<core::BootTime> ChangedAfter;
    core::BootTime HeldAt{};
  };

  const Writing *find(const std::string &Key, const std::string &Value) const;

  /// By digest of key and value.
  std::map<std::uint64_t, Writing> Writings;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_EARLIER_WRITINGS_H
