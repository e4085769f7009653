#ifndef ROSEMARYLANE_SERVING_RECORD_ORDER_H
#define ROSEMARYLANE_SERVING_RECORD_ORDER_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// Tells which of two records of one key is newer, from the records themselves:
/// the version of a configuration, the number of a named version, the time at
/// which a registered target started. Needed where revisions do not tell, as
/// the store was restored in between.
/// @return the record's place in the order of its key; absent if it has none.
using RecordOrder = std::function<std::optional<std::uint64_t>(
    const std::string &Key, const std::string &Value)>;

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RECORD_ORDER_H
