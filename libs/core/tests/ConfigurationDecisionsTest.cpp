#include "core/ConfigurationDecisions.h"
#include "core/StoredConfiguration.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane::core;

namespace {

std::vector<HostId> hosts(std::size_t Count) {
  std::vector<HostId> Names;
  for (std::size_t I = 0; I < Count; ++I)
    Names.emplace_back("entry-" + std::to_string(I));
  return Names;
}

Configuration sample() {
  Configuration Config;
  Workspace Caller{WorkspaceId("station"), WorkspaceRole::Caller,
                   Digest::of("caller"), 0};
  Workspace Operator{WorkspaceId("ops"), WorkspaceRole::Operator,
                     Digest::of("operator"), 0};
  Config.Workspaces = {Caller, Operator};
  CatalogueEntry Own;
  Own.Name = EntryName("draft");
  Own.Owner = Caller.Name;
  Own.Version = Digest::of("one");
  CatalogueEntry Other = Own;
  Other.Name = EntryName("licence");
  Other.Owner = Operator.Name;
  Config.Entries = {Own, Other};
  return Config;
}

ConfigurationChange change(const std::string &Id) {
  ConfigurationChange Change;
  Change.Id = Id;
  Change.By = WorkspaceId("ops");
  Change.At = WallTime(std::chrono::milliseconds(1234));
  return Change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_decisions)

BOOST_AUTO_TEST_CASE(exactly_one_live_entry_reads) {
  BOOST_TEST(rc::check([] {
    auto Count = *rc::gen::inRange<std::size_t>(1, 20);
    std::vector<HostId> Live = hosts(Count);
    FailureDomainId Domain(*rc::gen::arbitrary<std::string>());
    auto Readers =
        std::count_if(Live.begin(), Live.end(), [&](const HostId &Self) {
          return readsStore(Self, Domain, Live);
        });
    RC_ASSERT(Readers == 1);
  }));
}

BOOST_AUTO_TEST_CASE(the_next_in_rank_steps_in_alone) {
  std::vector<HostId> Live = hosts(8);
  FailureDomainId Domain("rift");
  auto Reads = [&](const HostId &H) { return readsStore(H, Domain, Live); };
  HostId First = *std::find_if(Live.begin(), Live.end(), Reads);
  std::erase(Live, First);
  BOOST_TEST(std::count_if(Live.begin(), Live.end(), Reads) == 1);
}

BOOST_AUTO_TEST_CASE(an_entry_that_knows_no_other_reads) {
  BOOST_TEST(readsStore(HostId("a"), FailureDomainId("rift"), {}));
}

BOOST_AUTO_TEST_CASE(the_side_behind_asks) {
  using Step = ConfigurationExchange::Step;
  ConfigurationExchange Side;
  TimePoint Now{};
  BOOST_TEST((Side.hear({0, 0}, Now) == Step::Nothing));
  BOOST_TEST((Side.hear({4, std::nullopt}, Now) == Step::Ask));
  BOOST_TEST((Side.hear({4, std::nullopt}, Now) == Step::Nothing));
  Now += ConfigurationExchange::AskTimeout;
  BOOST_TEST((Side.hear({4, std::nullopt}, Now) == Step::Ask));
  BOOST_TEST(Side.accept(4));
  BOOST_TEST(!Side.accept(3));
  BOOST_TEST((Side.hear({3, 3}, Now) == Step::SendDocument));
  BOOST_TEST((Side.hear({3, std::nullopt}, Now) == Step::Nothing));
  BOOST_TEST((Side.hear({4, 4}, Now) == Step::Nothing));
  BOOST_TEST((Side.hear({5, std::nullopt}, Now) == Step::Ask));
}

BOOST_AUTO_TEST_CASE(a_caller_sees_its_own_workspace) {
  Configuration Config = sample();
  Config.HostsOut.emplace("h1");
  Configuration Seen = visibleTo(Config.Workspaces[0], Config);
  BOOST_TEST(Seen.Workspaces.size() == 1u);
  BOOST_TEST(Seen.Entries.size() == 1u);
  BOOST_TEST(Seen.HostsOut.empty());
  BOOST_TEST((visibleTo(Config.Workspaces[1], Config) == Config));
}

BOOST_AUTO_TEST_CASE(stored_value_round_trip) {
  StoredConfiguration Stored =
      withChange(StoredConfiguration(), sample(), change("c1"));
  auto Parsed = parseStored(formatStored(Stored));
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST((*Parsed == Stored));
  BOOST_TEST(Parsed->Current.Revision == 1u);
  BOOST_TEST(Parsed->change("c1")->Revision == 1u);
  BOOST_TEST(parseStored("")->Current.Revision == 0u);
  BOOST_TEST(!parseStored("{\"document\":{}}").has_value());
  BOOST_TEST(!parseStored("{").has_value());
}

BOOST_AUTO_TEST_CASE(revisions_rise_although_the_store_lost_its_data) {
  ConfigurationChange Change = change("again");
  Change.Revision = 10;
  StoredConfiguration Stored =
      withChange(StoredConfiguration(), sample(), Change);
  BOOST_TEST(Stored.Current.Revision == 11u);
  BOOST_TEST(Stored.History.back().Revision == 11u);
}

BOOST_AUTO_TEST_CASE(history_is_bounded) {
  StoredConfiguration Stored;
  for (std::size_t I = 0; I < MaxHistory + 5; ++I)
    Stored = withChange(Stored, sample(), change(std::to_string(I)));
  BOOST_TEST(Stored.History.size() == MaxHistory);
  BOOST_TEST(Stored.change("4") == nullptr);
  BOOST_TEST(Stored.History.back().Revision == Stored.Current.Revision);
}

BOOST_AUTO_TEST_CASE(differences_are_described) {
  Configuration Before = sample();
  Configuration After = Before;
  After.Entries[0].Version = Digest::of("two");
  After.Entries[1].Name = EntryName("licence-2");
  After.FailureDomainsOut.emplace("rift");
  std::vector<std::string> Lines = describeDifference(Before, After);
  BOOST_REQUIRE(Lines.size() == 4u);
  BOOST_TEST(Lines[0].starts_with("entry draft: version \"sha256:"));
  BOOST_TEST(Lines[1] == "entry licence-2: added");
  BOOST_TEST(Lines[2] == "entry licence: removed");
  BOOST_TEST(Lines[3] == "failure domain rift: taken out of service");
  BOOST_TEST(describeDifference(After, After).empty());
}

BOOST_AUTO_TEST_CASE(a_document_that_is_silent_keeps_what_is_out) {
  Configuration Current = sample();
  Current.FailureDomainsOut.emplace("rift");
  BOOST_TEST(
      parseReplacement(R"({"workspaces":[]})", Current)->FailureDomainsOut ==
      Current.FailureDomainsOut);
  BOOST_TEST(parseReplacement(R"({"out_of_service":{}})", Current)
                 ->FailureDomainsOut.empty());
}

BOOST_AUTO_TEST_CASE(service_orders) {
  auto Order = parseServiceOrder(R"({"failure_domain":"rift","out":true})");
  BOOST_REQUIRE(Order.has_value());
  Configuration Config = Order->apply(sample());
  BOOST_TEST(Config.FailureDomainsOut.size() == 1u);
  Order = parseServiceOrder(R"({"failure_domain":"rift","out":false})");
  BOOST_TEST(Order->apply(Config).FailureDomainsOut.empty());
  BOOST_TEST(!parseServiceOrder(R"({"out":true})").has_value());
  BOOST_TEST(!parseServiceOrder(R"({"host":"h"})").has_value());
  BOOST_TEST(!parseServiceOrder(R"({"host":"h","failure_domain":"d",
    "out":true})")
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()
