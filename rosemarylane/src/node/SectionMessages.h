#ifndef ROSEMARYLANE_NODE_SECTION_MESSAGES_H
#define ROSEMARYLANE_NODE_SECTION_MESSAGES_H

#include "platform/Records.h"
#include "serving/StoreSection.h"
#include "wire/node.pb.h"

#include <string_view>

namespace rosemarylane {

/// How peers name and summarize the sections of the store to each other.

/// Appended to the path of a section for compressed values.
constexpr std::string_view CompressedSuffix = "/compressed";

/// @return the path at which peers serve a section.
const char *pathOf(platform::Section Which);

void toWire(const serving::StoreSection::Summary &From,
            wire::SectionSummary &To);
serving::StoreSection::Summary fromWire(const wire::SectionSummary &From);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_SECTION_MESSAGES_H
