#ifndef ROSEMARYLANE_NODE_SECTION_SERVER_H
#define ROSEMARYLANE_NODE_SECTION_SERVER_H

#include "core/BootClock.h"
#include "http/Message.h"
#include "node/SectionCopies.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace rosemarylane {

/// Serves this process's copies of the store's sections to peers, which read
/// them with `fetchSection`. Large values are compressed once for all peers.
/// Not thread-safe; \p Copies have to outlive it.
class SectionServer {
public:
  explicit SectionServer(const SectionCopies &Copies) : Copies(Copies) {}

  /// @param Path path of the request.
  /// @return the response, or nothing if the path is not that of a section.
  std::optional<http::Response> answer(std::string_view Path,
                                       core::BootTime Now);

  /// Drops all compressed values. To be called when the operators section has
  /// changed.
  void dropCompressed() { CompressedItems.clear(); }

private:
  const serving::SectionCopy *sectionAt(std::string_view Path) const;
  const std::string &compressedValue(const std::string &Key,
                                     const serving::StoredItem &Item);

  const SectionCopies &Copies;
  /// Large values of the operators section as last served to peers, by key.
  std::map<std::string, std::string> CompressedItems;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_SECTION_SERVER_H
