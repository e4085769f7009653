#include "core/ConfigurationDecisions.h"

#include "core/Rendezvous.h"

#include <algorithm>

namespace rosemarylane::core {

bool readsStore(const HostId &Self, const FailureDomainId &Domain,
                const std::vector<HostId> &LiveEntries) {
  std::string Key = "configuration-reader/" + Domain.str();
  std::uint64_t Own = rendezvousWeight(Key, Self.str());
  return std::all_of(
      LiveEntries.begin(), LiveEntries.end(), [&](const HostId &Other) {
        std::uint64_t Weight = rendezvousWeight(Key, Other.str());
        return Weight < Own || (Weight == Own && Self <= Other);
      });
}

ExchangeStep exchangeStep(std::uint64_t Own, std::uint64_t OfPeer, bool Asked,
                          std::uint64_t Known) {
  if (Asked && Known < Own)
    return ExchangeStep::SendDocument;
  if (OfPeer > Own)
    return ExchangeStep::Ask;
  return ExchangeStep::Nothing;
}

Configuration visibleTo(const Workspace &Viewer, const Configuration &Config) {
  if (Viewer.Role == WorkspaceRole::Operator)
    return Config;
  Configuration Visible;
  Visible.Revision = Config.Revision;
  for (const Workspace &W : Config.Workspaces)
    if (W.Name == Viewer.Name)
      Visible.Workspaces.push_back(W);
  for (const CatalogueEntry &E : Config.Entries)
    if (E.Owner == Viewer.Name)
      Visible.Entries.push_back(E);
  return Visible;
}

} // namespace rosemarylane::core
