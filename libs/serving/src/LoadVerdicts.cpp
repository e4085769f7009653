#include "serving/LoadVerdicts.h"

namespace rosemarylane::serving {

void LoadVerdicts::record(const std::string &Address, const LoadVerdict &Given,
                          core::BootTime Now) {
  std::erase_if(Entries, [&](const auto &Item) {
    return Now - Item.second.RecordedAt > Lifetime;
  });
  auto [Found, IsNew] = Entries.try_emplace(Address, Entry{Given, Now});
  LoadVerdict &Known = Found->second.Given;
  bool SameIncarnation = Known.StartTimeMs == Given.StartTimeMs;
  if (SameIncarnation && Given.Orders < Known.Orders)
    return;
  Found->second.RecordedAt = Now;
  bool SameLoad = SameIncarnation && Given.Orders == Known.Orders;
  if (!SameLoad || !Known.Whole)
    Known = Given;
}

std::optional<LoadVerdict> LoadVerdicts::find(const std::string &Address,
                                              std::int64_t StartTimeMs,
                                              std::int64_t Orders) const {
  auto Found = Entries.find(Address);
  if (Found == Entries.end())
    return std::nullopt;
  const LoadVerdict &Known = Found->second.Given;
  bool SameLoad = Known.StartTimeMs == StartTimeMs && Known.Orders == Orders;
  return SameLoad ? std::optional(Known) : std::nullopt;
}

} // namespace rosemarylane::serving
