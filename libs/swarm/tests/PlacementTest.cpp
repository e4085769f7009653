#include "swarm/Placement.h"

#include "Generators.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace rosemarylane;
using swarm::EngineHost;

namespace {

core::CatalogueEntry makeEntry(const std::string &Name,
                               std::uint32_t Replicas) {
  core::CatalogueEntry Entry;
  Entry.Name = core::EntryName(Name);
  Entry.Replicas = Replicas;
  Entry.Version = core::Digest::of(Name);
  return Entry;
}

std::map<core::FailureDomainId, std::size_t>
countByDomain(const std::vector<EngineHost> &Hosts) {
  std::map<core::FailureDomainId, std::size_t> Counts;
  for (const EngineHost &Host : Hosts)
    ++Counts[Host.FailureDomain];
  return Counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement)

BOOST_AUTO_TEST_CASE(replicas_spread_and_nobody_out_of_service_holds_any) {
  BOOST_TEST(rc::check([] {
    auto Domains = *rc::gen::inRange<std::size_t>(1, 6);
    auto Hosts = swarm::testing::makeHosts(
        *rc::gen::inRange<std::size_t>(1, 40), Domains);
    core::Configuration Config;
    Config.Entries.push_back(makeEntry("m", *rc::gen::inRange(0, 30)));
    for (const EngineHost &Host : Hosts)
      if (*rc::gen::inRange(0, 5) == 0)
        Config.OutOfServiceHosts.insert(Host.Host);
    if (*rc::gen::arbitrary<bool>())
      Config.OutOfServiceFailureDomains.insert(Hosts[0].FailureDomain);
    auto Replicas = swarm::replicaHosts(Config.Entries[0], Config, Hosts);

    std::map<core::FailureDomainId, std::size_t> InService;
    std::size_t Usable = 0;
    for (const EngineHost &Host : Hosts)
      if (!Config.isOutOfService(Host.Host, Host.FailureDomain)) {
        ++InService[Host.FailureDomain];
        ++Usable;
      }
    RC_ASSERT(Replicas.size() ==
              std::min<std::size_t>(Usable, Config.Entries[0].Replicas));
    auto Counts = countByDomain(Replicas);
    for (const EngineHost &R : Replicas)
      RC_ASSERT(!Config.isOutOfService(R.Host, R.FailureDomain));
    // While a domain has a host in service without a replica, no other domain
    // has two or more replicas more than it.
    for (auto &[Domain, InServiceCount] : InService)
      for (auto &[Other, Count] : Counts)
        RC_ASSERT(Counts[Domain] == InServiceCount ||
                  Counts[Domain] + 1 >= Count);
  }));
}

BOOST_AUTO_TEST_CASE(order_of_members_does_not_matter) {
  BOOST_TEST(rc::check([] {
    auto Hosts = swarm::testing::makeHosts(20, 3);
    core::Configuration Config;
    Config.Entries.push_back(makeEntry("m", 7));
    auto First = swarm::replicaHosts(Config.Entries[0], Config, Hosts);
    std::reverse(Hosts.begin(), Hosts.end());
    RC_ASSERT(First == swarm::replicaHosts(Config.Entries[0], Config, Hosts));
  }));
}

BOOST_AUTO_TEST_CASE(a_departed_host_moves_only_its_own_replicas) {
  BOOST_TEST(rc::check([] {
    auto Hosts = swarm::testing::makeHosts(30, 3);
    core::Configuration Config;
    Config.Entries.push_back(makeEntry("m", 12));
    auto Before = swarm::replicaHosts(Config.Entries[0], Config, Hosts);
    auto DepartedHost = Hosts[*rc::gen::inRange<std::size_t>(0, Hosts.size())];
    std::erase(Hosts, DepartedHost);
    auto After = swarm::replicaHosts(Config.Entries[0], Config, Hosts);
    for (const EngineHost &Host : Before)
      if (Host != DepartedHost)
        RC_ASSERT(std::find(After.begin(), After.end(), Host) != After.end());
  }));
}

BOOST_AUTO_TEST_CASE(an_adapter_is_placed_on_hosts_of_its_base) {
  auto Hosts = swarm::testing::makeHosts(12, 3);
  core::Configuration Config;
  Config.Entries.push_back(makeEntry("base", 6));
  core::CatalogueEntry Adapter = makeEntry("adapter", 4);
  Adapter.BaseModel = core::EntryName("base");
  Config.Entries.push_back(Adapter);
  std::size_t Holders = 0;
  for (const EngineHost &Host : Hosts) {
    auto Wanted = swarm::entriesForHost(Host.Host, Config, Hosts);
    if (!Wanted.contains(Adapter.Name))
      continue;
    ++Holders;
    BOOST_TEST(Wanted.contains(core::EntryName("base")));
  }
  BOOST_TEST(Holders == 4u);
}

BOOST_AUTO_TEST_CASE(only_listed_failure_domains_are_used) {
  auto Hosts = swarm::testing::makeHosts(12, 3);
  core::Configuration Config;
  Config.Entries.push_back(makeEntry("m", 12));
  Config.Entries[0].FailureDomains = {core::FailureDomainId("domain-1")};
  auto Replicas = swarm::replicaHosts(Config.Entries[0], Config, Hosts);
  BOOST_TEST(Replicas.size() == 4u);
  for (const EngineHost &Host : Replicas)
    BOOST_TEST(Host.FailureDomain.str() == "domain-1");
}

BOOST_AUTO_TEST_SUITE_END()
