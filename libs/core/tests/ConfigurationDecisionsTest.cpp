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

Configuration sampleConfiguration() {
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

ConfigurationChange makeChange(const std::string &Id) {
  ConfigurationChange Change;
  Change.Id = Id;
  Change.By = WorkspaceId("ops");
  Change.At = WallTime(std::chrono::milliseconds(1234));
  return Change;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_decisions)

BOOST_AUTO_TEST_CASE(exactly_one_live_entry_reads_the_store) {
  BOOST_TEST(rc::check([] {
    auto Count = *rc::gen::inRange<std::size_t>(1, 20);
    std::vector<HostId> Live = hosts(Count);
    FailureDomainId Domain(*rc::gen::arbitrary<std::string>());
    auto Readers =
        std::count_if(Live.begin(), Live.end(), [&](const HostId &Self) {
          return isConfigurationReader(Self, Domain, Live);
        });
    RC_ASSERT(Readers == 1);
  }));
}

BOOST_AUTO_TEST_CASE(next_ranked_entry_takes_over_when_the_reader_leaves) {
  std::vector<HostId> Live = hosts(8);
  FailureDomainId Domain("rift");
  auto Reads = [&](const HostId &H) {
    return isConfigurationReader(H, Domain, Live);
  };
  HostId First = *std::find_if(Live.begin(), Live.end(), Reads);
  std::erase(Live, First);
  BOOST_TEST(std::count_if(Live.begin(), Live.end(), Reads) == 1);
}

BOOST_AUTO_TEST_CASE(entry_without_known_peers_reads_the_store) {
  BOOST_TEST(isConfigurationReader(HostId("a"), FailureDomainId("rift"), {}));
}

BOOST_AUTO_TEST_CASE(process_with_older_revision_requests_the_document) {
  using Action = ConfigurationExchange::Action;
  ConfigurationExchange Exchange;
  TimePoint Now{};
  BOOST_TEST((Exchange.handleMessage({0, 0}, Now) == Action::Nothing));
  BOOST_TEST((Exchange.handleMessage({4, std::nullopt}, Now) ==
              Action::RequestDocument));
  BOOST_TEST(
      (Exchange.handleMessage({4, std::nullopt}, Now) == Action::Nothing));
  Now += ConfigurationExchange::RequestTimeout;
  BOOST_TEST((Exchange.handleMessage({4, std::nullopt}, Now) ==
              Action::RequestDocument));
  BOOST_TEST(Exchange.accept(4));
  BOOST_TEST(!Exchange.accept(3));
  BOOST_TEST((Exchange.handleMessage({3, 3}, Now) == Action::SendDocument));
  BOOST_TEST(
      (Exchange.handleMessage({3, std::nullopt}, Now) == Action::Nothing));
  BOOST_TEST((Exchange.handleMessage({4, 4}, Now) == Action::Nothing));
  BOOST_TEST((Exchange.handleMessage({5, std::nullopt}, Now) ==
              Action::RequestDocument));
}

BOOST_AUTO_TEST_CASE(caller_sees_only_its_own_workspace) {
  Configuration Config = sampleConfiguration();
  Config.OutOfServiceHosts.emplace("h1");
  Configuration Visible = visibleTo(Config.Workspaces[0], Config);
  BOOST_TEST(Visible.Workspaces.size() == 1u);
  BOOST_TEST(Visible.Entries.size() == 1u);
  BOOST_TEST(Visible.OutOfServiceHosts.empty());
  BOOST_TEST((visibleTo(Config.Workspaces[1], Config) == Config));
}

BOOST_AUTO_TEST_CASE(stored_value_round_trip) {
  StoredConfiguration Stored = applyChange(
      StoredConfiguration(), sampleConfiguration(), makeChange("c1"));
  auto Parsed = parseStoredConfiguration(formatStoredConfiguration(Stored));
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST((*Parsed == Stored));
  BOOST_TEST(Parsed->Current.Revision == 1u);
  BOOST_TEST(Parsed->change("c1")->Revision == 1u);
  BOOST_TEST(parseStoredConfiguration("")->Current.Revision == 0u);
  BOOST_TEST(!parseStoredConfiguration("{\"document\":{}}").has_value());
  BOOST_TEST(!parseStoredConfiguration("{").has_value());
}

BOOST_AUTO_TEST_CASE(revisions_increase_after_the_store_lost_its_data) {
  ConfigurationChange Change = makeChange("again");
  Change.Revision = 10;
  StoredConfiguration Stored =
      applyChange(StoredConfiguration(), sampleConfiguration(), Change);
  BOOST_TEST(Stored.Current.Revision == 11u);
  BOOST_TEST(Stored.History.back().Revision == 11u);
}

BOOST_AUTO_TEST_CASE(history_is_bounded) {
  StoredConfiguration Stored;
  for (std::size_t I = 0; I < MaxHistoryLength + 5; ++I)
    Stored = applyChange(Stored, sampleConfiguration(),
                         makeChange(std::to_string(I)));
  BOOST_TEST(Stored.History.size() == MaxHistoryLength);
  BOOST_TEST(Stored.change("4") == nullptr);
  BOOST_TEST(Stored.History.back().Revision == Stored.Current.Revision);
}

BOOST_AUTO_TEST_CASE(differences_are_described) {
  Configuration Before = sampleConfiguration();
  Configuration After = Before;
  After.Entries[0].Version = Digest::of("two");
  After.Entries[1].Name = EntryName("licence-2");
  After.OutOfServiceFailureDomains.emplace("rift");
  std::vector<std::string> Lines = describeDifference(Before, After);
  BOOST_REQUIRE(Lines.size() == 4u);
  BOOST_TEST(Lines[0].starts_with("entry draft: version \"sha256:"));
  BOOST_TEST(Lines[1] == "entry licence-2: added");
  BOOST_TEST(Lines[2] == "entry licence: removed");
  BOOST_TEST(Lines[3] == "failure domain rift: taken out of service");
  BOOST_TEST(describeDifference(After, After).empty());
}

BOOST_AUTO_TEST_CASE(document_without_out_of_service_keeps_the_current_one) {
  Configuration Current = sampleConfiguration();
  Current.OutOfServiceFailureDomains.emplace("rift");
  BOOST_TEST(parseReplacement(R"({"workspaces":[]})", Current)
                 ->OutOfServiceFailureDomains ==
             Current.OutOfServiceFailureDomains);
  BOOST_TEST(parseReplacement(R"({"out_of_service":{}})", Current)
                 ->OutOfServiceFailureDomains.empty());
}

BOOST_AUTO_TEST_CASE(out_of_service_requests) {
  auto Request =
      parseOutOfServiceRequest(R"({"failure_domain":"rift","out":true})");
  BOOST_REQUIRE(Request.has_value());
  Configuration Config = Request->apply(sampleConfiguration());
  BOOST_TEST(Config.OutOfServiceFailureDomains.size() == 1u);
  Request =
      parseOutOfServiceRequest(R"({"failure_domain":"rift","out":false})");
  BOOST_TEST(Request->apply(Config).OutOfServiceFailureDomains.empty());
  BOOST_TEST(!parseOutOfServiceRequest(R"({"out":true})").has_value());
  BOOST_TEST(!parseOutOfServiceRequest(R"({"host":"h"})").has_value());
  BOOST_TEST(!parseOutOfServiceRequest(R"({"host":"h","failure_domain":"d",
    "out":true})")
                  .has_value());
}

BOOST_AUTO_TEST_SUITE_END()
