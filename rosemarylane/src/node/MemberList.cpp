#include "node/MemberList.h"

#include "node/PeerSocket.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <cstdint>
#include <map>

namespace rosemarylane {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

std::uint32_t silenceOf(const serving::PeerTable::KnownPeer &Entry,
                        core::BootTime Now) {
  return static_cast<std::uint32_t>(
      std::chrono::ceil<milliseconds>(Now - Entry.LastHeard).count());
}

std::uint32_t flagsOf(const serving::Peer &Member) {
  std::uint32_t Flags = wire::MEMBER_FLAG_NONE;
  if (Member.Role == serving::PeerRole::Sidecar)
    Flags |= wire::MEMBER_FLAG_SIDECAR;
  if (Member.StoreLost)
    Flags |= wire::MEMBER_FLAG_STORE_LOST;
  return Flags;
}

void addFull(const serving::PeerTable::KnownPeer &Entry, core::BootTime Now,
             wire::Reply &Reply) {
  wire::Node *Member = Reply.add_members();
  *Member = peerToWire(Entry.Details);
  Member->set_silent_ms(silenceOf(Entry, Now));
}

void addMembersOf(const wire::DomainMembers &Domain,
                  std::vector<ListedMember> &To) {
  int Count = std::min(
      {Domain.ip_size(), Domain.silent_ms_size(), Domain.flags_size()});
  for (int I = 0; I < Count; ++I) {
    ListedMember Member;
    Member.Details.Ip = asio::ip::address_v4(Domain.ip(I)).to_string();
    Member.Details.FailureDomain =
        core::FailureDomainId(Domain.failure_domain());
    if (Domain.flags(I) & wire::MEMBER_FLAG_SIDECAR)
      Member.Details.Role = serving::PeerRole::Sidecar;
    Member.Details.StoreLost =
        (Domain.flags(I) & wire::MEMBER_FLAG_STORE_LOST) != 0;
    Member.Silence = milliseconds(Domain.silent_ms(I));
    To.push_back(std::move(Member));
  }
}

} // namespace

void listMembers(const serving::PeerTable &Peers, wire::MemberList Form,
                 core::BootTime Now, wire::Reply &Reply) {
  if (Form == wire::MEMBER_LIST_NONE)
    return;
  std::map<core::FailureDomainId, wire::DomainMembers *> Domains;
  for (const auto &[Ip, Entry] : Peers.entries()) {
    boost::system::error_code NotV4;
    auto Number = asio::ip::make_address_v4(Ip, NotV4);
    if (NotV4 || Form == wire::MEMBER_LIST_FULL) {
      addFull(Entry, Now, Reply);
      continue;
    }
    wire::DomainMembers *&Of = Domains[Entry.Details.FailureDomain];
    if (!Of) {
      Of = Reply.add_domains();
      Of->set_failure_domain(Entry.Details.FailureDomain.str());
    }
    Of->add_ip(Number.to_uint());
    Of->add_silent_ms(silenceOf(Entry, Now));
    Of->add_flags(flagsOf(Entry.Details));
  }
}

std::vector<ListedMember> listedMembers(const wire::Reply &Reply) {
  std::vector<ListedMember> Result;
  for (const wire::Node &Member : Reply.members())
    Result.push_back({peerFromWire(Member), milliseconds(Member.silent_ms())});
  for (const wire::DomainMembers &Domain : Reply.domains())
    addMembersOf(Domain, Result);
  return Result;
}

} // namespace rosemarylane
