#include "serving/NamedLimit.h"

#include "core/Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace rosemarylane::serving {

bool NamedLimit::update(std::optional<double> PerSecond, core::BootTime At) {
  if (At < SaidAt)
    return false;
  bool Changed = Limit != PerSecond;
  SaidAt = At;
  Limit = PerSecond;
  return Changed;
}

void NamedLimit::setGateways(std::string_view TargetName, std::string_view Self,
                             const std::vector<std::string> &Names) {
  auto Weight = [&](std::string_view Name) {
    return std::tuple(core::rendezvousWeight(TargetName, Name), Name);
  };
  auto Own = Weight(Self);
  Rank = static_cast<std::size_t>(
      std::count_if(Names.begin(), Names.end(), [&](const std::string &Name) {
        return Weight(Name) > Own;
      }));
  GatewayCount = std::max<std::size_t>(Names.size(), 1);
}

std::optional<double> NamedLimit::perSecond(core::BootTime Now) const {
  return Limit && Now - SaidAt < Lifetime ? Limit : std::nullopt;
}

std::size_t NamedLimit::senderCount() const {
  // Compared as numbers before the conversion, which cannot hold every limit.
  if (*Limit >= static_cast<double>(GatewayCount))
    return GatewayCount;
  return std::max<std::size_t>(static_cast<std::size_t>(*Limit), 1);
}

bool NamedLimit::canAcquire(core::BootTime Now) {
  if (!perSecond(Now))
    return true;
  return Rank < senderCount() && Share.canAcquire(*Limit, senderCount(), Now);
}

void NamedLimit::acquire(core::BootTime Now) {
  if (perSecond(Now))
    (void)Share.tryAcquire(*Limit, senderCount(), Now);
}

} // namespace rosemarylane::serving
