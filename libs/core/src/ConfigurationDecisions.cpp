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

ConfigurationExchange::Step ConfigurationExchange::hear(const Heard &Message,
                                                        TimePoint Now) {
  if (Message.AskerKnows && *Message.AskerKnows < InForce)
    return Step::SendDocument;
  if (Message.Revision <= InForce)
    return Step::Nothing;
  bool Waiting = AskedAt && Now - *AskedAt < AskTimeout;
  if (Waiting && Message.Revision <= AskedFor)
    return Step::Nothing;
  AskedAt = Now;
  AskedFor = Message.Revision;
  return Step::Ask;
}

bool ConfigurationExchange::accept(std::uint64_t Revision) {
  if (Revision <= InForce)
    return false;
  InForce = Revision;
  AskedAt.reset();
  return true;
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
