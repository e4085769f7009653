#ifndef ROSEMARYLANE_NODE_MEMBER_LIST_H
#define ROSEMARYLANE_NODE_MEMBER_LIST_H

#include "core/BootClock.h"
#include "serving/PeerTable.h"
#include "wire/node.pb.h"

#include <chrono>
#include <vector>

namespace rosemarylane {

/// A process as listed in a reply.
struct ListedMember {
  serving::Peer Details;
  /// Time since it was last heard from.
  std::chrono::milliseconds Silence{0};
};

/// Adds the processes that \p Peers knows to \p Reply, in the form asked for.
void listMembers(const serving::PeerTable &Peers, wire::MemberList Form,
                 core::BootTime Now, wire::Reply &Reply);

/// @return the processes that \p Reply lists, in either form.
std::vector<ListedMember> listedMembers(const wire::Reply &Reply);

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_MEMBER_LIST_H
