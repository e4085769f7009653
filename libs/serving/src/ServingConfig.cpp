#include "serving/ServingConfig.h"

#include <algorithm>

namespace rosemarylane::serving {

void ServingConfig::index() {
  RoutesByHost.clear();
  ServicesByName.clear();
  WorkspacesByKey.clear();
  for (std::size_t I = 0; I < Routes.size(); ++I)
    RoutesByHost[Routes[I].HostName].push_back(I);
  for (auto &[HostName, Indexes] : RoutesByHost)
    std::stable_sort(Indexes.begin(), Indexes.end(), [&](auto A, auto B) {
      return Routes[A].Prefix.size() > Routes[B].Prefix.size();
    });
  for (std::size_t I = 0; I < Services.size(); ++I)
    ServicesByName.emplace(Services[I].Name, I);
  for (std::size_t I = 0; I < Workspaces.size(); ++I)
    for (const std::string &Key : Workspaces[I].ApiKeys)
      WorkspacesByKey.emplace(Key, I);
}

const Route *ServingConfig::route(std::string_view HostName,
                                  std::string_view Path) const {
  auto Found = RoutesByHost.find(std::string(HostName));
  if (Found == RoutesByHost.end())
    return nullptr;
  for (std::size_t Index : Found->second)
    if (Path.starts_with(Routes[Index].Prefix))
      return &Routes[Index];
  return nullptr;
}

const Service *ServingConfig::service(std::string_view Name) const {
  auto Found = ServicesByName.find(Name);
  return Found == ServicesByName.end() ? nullptr : &Services[Found->second];
}

const Workspace *ServingConfig::findWorkspaceByKey(std::string_view Key) const {
  auto Found = WorkspacesByKey.find(std::string(Key));
  return Found == WorkspacesByKey.end() ? nullptr : &Workspaces[Found->second];
}

} // namespace rosemarylane::serving
