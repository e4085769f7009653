#include "node/SectionServer.h"

#include "node/SectionMessages.h"
#include "wire/Compression.h"

#include <chrono>
#include <cstddef>

namespace rosemarylane {

using core::BootTime;
using platform::Section;

namespace {

/// Values of at least this size are compressed for peers.
constexpr std::size_t MinCompressedBytes = 4 << 10;

} // namespace

const serving::SectionCopy *
SectionServer::sectionAt(std::string_view Path) const {
  if (Path == pathOf(Section::Operators))
    return &Copies.Operators;
  if (Path == pathOf(Section::Registry))
    return &Copies.Registry;
  return nullptr;
}

/// @return the value of an item as gzip, compressed once for all peers.
const std::string &
SectionServer::compressedValue(const std::string &Key,
                               const serving::StoredItem &Item) {
  std::string &Known = CompressedItems[Key];
  if (Known.empty())
    Known = wire::compress(Item.Value);
  return Known;
}

std::optional<http::Response> SectionServer::answer(std::string_view Path,
                                                    BootTime Now) {
  bool Compressed = Path.ends_with(CompressedSuffix);
  if (Compressed)
    Path.remove_suffix(CompressedSuffix.size());
  const serving::SectionCopy *Which = sectionAt(Path);
  if (!Which)
    return std::nullopt;
  wire::Section Body;
  toWire(Which->summary(Now), *Body.mutable_summary());
  for (const auto &[Key, Item] : Which->section().items()) {
    wire::SectionItem *Copy = Body.add_items();
    Copy->set_key(Key);
    if (Compressed && Which == &Copies.Operators &&
        Item.Value.size() >= MinCompressedBytes) {
      Copy->set_compressed_value(compressedValue(Key, Item));
      Copy->set_value_bytes(Item.Value.size());
    } else {
      Copy->set_value(Item.Value);
    }
    Copy->set_revision(Item.Revision);
    if (Item.ChangedAfter)
      Copy->set_changed_after_age_ms(
          std::chrono::ceil<std::chrono::milliseconds>(Now - *Item.ChangedAfter)
              .count());
  }
  http::Response Answer;
  Answer.Head.Status = Which->section().known() ? 200 : 503;
  Answer.Body = Body.SerializeAsString();
  return Answer;
}

} // namespace rosemarylane
