#ifndef ROSEMARYLANE_CORE_IDS_H
#define ROSEMARYLANE_CORE_IDS_H

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace rosemarylane::core {

/// A name of one kind of thing; names of different kinds do not mix.
///
/// A plain value type: copyable, comparable and hashable.
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

/// A machine that runs one process of the system.
using HostId = Id<struct HostTag>;

/// A failure domain: hosts that may be lost, cut off or taken out together.
using FailureDomainId = Id<struct FailureDomainTag>;

/// A region: failure domains joined by fast links; links between regions are
/// slow.
using RegionId = Id<struct RegionTag>;

/// The tenant a caller acts for.
using WorkspaceId = Id<struct WorkspaceTag>;

/// The name of an entry of the catalogue, which callers give as `model` or as
/// the service's path.
using EntryName = Id<struct EntryNameTag>;

} // namespace rosemarylane::core

template <typename Tag> struct std::hash<rosemarylane::core::Id<Tag>> {
  std::size_t operator()(const rosemarylane::core::Id<Tag> &Name) const {
    return std::hash<std::string>()(Name.str());
  }
};

#endif // ROSEMARYLANE_CORE_IDS_H
