#include "core/Catalogue.h"

#include <algorithm>

namespace rosemarylane::core {

const CatalogueEntry *Configuration::entry(const EntryName &Name) const {
  auto Found =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const CatalogueEntry &E) { return E.Name == Name; });
  return Found == Entries.end() ? nullptr : &*Found;
}

const Workspace *
Configuration::workspaceByToken(const Digest &TokenDigest) const {
  auto Found = std::find_if(
      Workspaces.begin(), Workspaces.end(),
      [&](const Workspace &W) { return W.TokenDigest == TokenDigest; });
  return Found == Workspaces.end() ? nullptr : &*Found;
}

} // namespace rosemarylane::core
