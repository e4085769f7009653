#include "core/ConfigurationDecisions.h"

#include "core/Rendezvous.h"

#include <algorithm>

namespace rosemarylane::core {

bool isConfigurationReader(const HostId &Self, const FailureDomainId &Domain,
                           const std::vector<HostId> &LiveEntries) {
  std::string Key = "configuration-reader/" + Domain.str();
  std::uint64_t OwnWeight = rendezvousWeight(Key, Self.str());
  return std::all_of(
      LiveEntries.begin(), LiveEntries.end(), [&](const HostId &Other) {
        std::uint64_t Weight = rendezvousWeight(Key, Other.str());
        return Weight < OwnWeight || (Weight == OwnWeight && Self <= Other);
      });
}

ConfigurationExchange::Action
ConfigurationExchange::handleMessage(const RevisionAnnouncement &Message,
                                     TimePoint Now) {
  if (Message.RequesterRevision && *Message.RequesterRevision < CurrentRevision)
    return Action::SendDocument;
  if (Message.Revision <= CurrentRevision)
    return Action::Nothing;
  bool RequestPending = RequestedAt && Now - *RequestedAt < RequestTimeout;
  if (RequestPending && Message.Revision <= RequestedRevision)
    return Action::Nothing;
  RequestedAt = Now;
  RequestedRevision = Message.Revision;
  return Action::RequestDocument;
}

bool ConfigurationExchange::accept(std::uint64_t Revision) {
  if (Revision <= CurrentRevision)
    return false;
  CurrentRevision = Revision;
  RequestedAt.reset();
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
