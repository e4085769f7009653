#ifndef ROSEMARYLANE_CORE_IDS_H
#define ROSEMARYLANE_CORE_IDS_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rosemarylane::core {

/// A strongly typed name: identifiers with different tags cannot be mixed.
///
/// A plain value type: copyable, ordered and hashable.
/// @tparam Tag an incomplete type that tells kinds of identifiers apart.
template <typename Tag> class Id {
public:
  Id() = default;
  explicit Id(std::string Value) : Value(std::move(Value)) {}

  const std::string &str() const { return Value; }
  bool empty() const { return Value.empty(); }

  auto operator<=>(const Id &) const = default;

private:
  std::string Value;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &Out, const Id<Tag> &Name) {
  return Out << Name.str();
}

/// A host: a machine that runs processes of the system, at most one of each
/// role. Together with a role, it identifies a process.
using HostId = Id<struct HostTag>;

/// A failure domain: a group of hosts that may fail, be partitioned from the
/// network or be taken out of service together.
using FailureDomainId = Id<struct FailureDomainTag>;

/// A region: a group of failure domains connected by fast links. Links between
/// regions are slow.
using RegionId = Id<struct RegionTag>;

/// A workspace: a tenant. Callers are the programs that send requests for one.
using WorkspaceId = Id<struct WorkspaceTag>;

/// The name of a catalogue entry. Callers address it by the `model` field of a
/// request or by the path of the service.
using EntryName = Id<struct EntryNameTag>;

} // namespace rosemarylane::core

template <typename Tag> struct std::hash<rosemarylane::core::Id<Tag>> {
  std::size_t operator()(const rosemarylane::core::Id<Tag> &Name) const {
    return std::hash<std::string>()(Name.str());
  }
};

#endif // ROSEMARYLANE_CORE_IDS_H
