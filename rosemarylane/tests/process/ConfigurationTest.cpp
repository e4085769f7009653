/// An accepted configuration is in force everywhere within seconds, and never
/// reverts.

#include "Fleet.h"
#include "core/ConfigurationDecisions.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

/// An accepted configuration is in force everywhere reachable within this time.
constexpr auto InForceWithin = 2s;

/// `rosemarylane/configuration` in base64, as the key-value service takes keys.
constexpr char EncodedKey[] = "cm9zZW1hcnlsYW5lL2NvbmZpZ3VyYXRpb24=";

constexpr char Outage[] = R"({"only":"/v3/","outage":true})";
constexpr char NoOutage[] = R"({"only":"/v3/","outage":false})";

http::Request adminRequest(std::string Method, std::string Resource,
                           std::string Body = "") {
  http::Request Request;
  Request.Method = std::move(Method);
  Request.Target = "/admin/v1/" + Resource;
  Request.Fields.set("Authorization", "Bearer operator-token");
  Request.Body = std::move(Body);
  return Request;
}

http::Request hostOut(const std::string &Name) {
  return adminRequest(
      "POST", "out-of-service",
      json::serialize(json::object{{"host", Name}, {"out", true}}));
}

/// The revision in force at a process, as its metrics tell; 0 if it does not
/// answer.
std::uint64_t revisionAt(Fleet &F, const Fleet::Host &H) {
  constexpr std::string_view Gauge = "\nrosemarylane_configuration_revision";
  http::Request Request{"GET", "/metrics", {}, ""};
  CallResult Answer = F.caller().call(H.Http, Request, 500ms);
  if (!Answer.ok())
    return 0;
  const std::string &Text = Answer.body();
  std::size_t At = Text.find(Gauge);
  if (At == std::string::npos)
    return 0;
  std::size_t Value = Text.find(' ', At + 1);
  return static_cast<std::uint64_t>(std::stod(Text.substr(Value)));
}

std::uint64_t revisionOf(const CallResult &Accepted) {
  BOOST_REQUIRE_MESSAGE(Accepted.ok(),
                        Accepted.status() << Accepted.body() << Accepted.Error);
  return Accepted.json().at("revision").to_number<std::uint64_t>();
}

std::vector<Fleet::Host *> allHosts(Fleet &F) {
  std::vector<Fleet::Host *> All = F.entries();
  for (Fleet::Host *Agent : F.agents())
    All.push_back(Agent);
  return All;
}

void awaitInForce(Fleet &F, const std::vector<Fleet::Host *> &Hosts,
                  std::uint64_t Revision) {
  auto Start = std::chrono::steady_clock::now();
  for (Fleet::Host *H : Hosts)
    Fleet::await("revision " + std::to_string(Revision) + " at " + H->Name,
                 InForceWithin, [&] { return revisionAt(F, *H) >= Revision; });
  auto Took = std::chrono::steady_clock::now() - Start;
  BOOST_TEST_MESSAGE(
      "revision "
      << Revision << " in force after "
      << std::chrono::duration_cast<std::chrono::milliseconds>(Took).count()
      << " ms");
  BOOST_TEST((Took <= InForceWithin));
}

/// The entry of a domain that reads the store.
Fleet::Host &readerOf(Fleet &F, const std::string &Domain) {
  auto Entries = F.entriesOf(Domain);
  std::vector<core::HostId> Live;
  for (Fleet::Host *Entry : Entries)
    Live.emplace_back(Entry->Name);
  for (Fleet::Host *Entry : Entries)
    if (core::isConfigurationReader(core::HostId(Entry->Name),
                                    core::FailureDomainId(Domain), Live))
      return *Entry;
  throw std::logic_error("no reader");
}

std::vector<Fleet::Host *> without(std::vector<Fleet::Host *> Hosts,
                                   const Fleet::Host &Left) {
  std::erase(Hosts, &Left);
  return Hosts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration)

BOOST_AUTO_TEST_CASE(accepted_is_in_force_everywhere) {
  Fleet F({});
  for (int I = 0; I < 5; ++I) {
    auto Accepted = F.caller().call(F.entries()[0]->Http,
                                    hostOut("gone-" + std::to_string(I)));
    awaitInForce(F, allHosts(F), revisionOf(Accepted));
  }
}

BOOST_AUTO_TEST_CASE(store_down_right_after_acceptance) {
  Fleet F({});
  auto Accepted = F.caller().call(F.entries()[0]->Http, hostOut("gone"));
  F.setFaults(F.platform(), Outage);
  awaitInForce(F, allHosts(F), revisionOf(Accepted));
}

BOOST_AUTO_TEST_CASE(reader_of_a_domain_frozen) {
  Fleet F({});
  Fleet::Host &Reader = readerOf(F, "b");
  Reader.Process->freeze();
  auto Accepted = F.caller().call(F.entriesOf("a")[0]->Http, hostOut("gone"));
  auto Revision = revisionOf(Accepted);
  awaitInForce(F, without(allHosts(F), Reader), Revision);
  Reader.Process->resume();
  awaitInForce(F, {&Reader}, Revision);
}

BOOST_AUTO_TEST_CASE(processes_starting_in_the_outage) {
  Fleet F({});
  auto Accepted = F.caller().call(F.entries()[0]->Http, hostOut("gone"));
  auto Revision = revisionOf(Accepted);
  awaitInForce(F, allHosts(F), Revision);
  F.setFaults(F.platform(), Outage);
  // Every entry of a domain is replaced; the agents still have it.
  for (Fleet::Host *Entry : F.entriesOf("b"))
    Entry->Process->kill();
  for (Fleet::Host *Entry : F.entriesOf("b"))
    F.startHost(*Entry);
  Fleet::Host &Agent = *F.agents()[0];
  Agent.Process->kill();
  F.startHost(Agent);
  for (Fleet::Host *H : allHosts(F))
    Fleet::await("revision at " + H->Name, 5s,
                 [&] { return revisionAt(F, *H) >= Revision; });
  auto Refused = F.caller().call(F.entries()[0]->Http, hostOut("other"));
  BOOST_TEST(Refused.status() == 503u);
  BOOST_TEST(Refused.ran() == "no");
  F.setFaults(F.platform(), NoOutage);
  auto Later = F.caller().call(F.entriesOf("b")[0]->Http, hostOut("other"));
  BOOST_TEST(revisionOf(Later) == Revision + 1);
  awaitInForce(F, allHosts(F), Revision + 1);
}

BOOST_AUTO_TEST_CASE(store_has_lost_its_data) {
  Fleet F({});
  auto Accepted = F.caller().call(F.entries()[0]->Http, hostOut("gone"));
  awaitInForce(F, allHosts(F), revisionOf(Accepted));
  auto Kept =
      F.caller().call(F.entries()[0]->Http, adminRequest("GET", "catalogue"));
  BOOST_REQUIRE(F.caller()
                    .post(F.platform(), "/v3/kv/deleterange",
                          R"({"key":")" + std::string(EncodedKey) + "\"}")
                    .ok());
  auto Request = adminRequest("PUT", "catalogue", Kept.body());
  Request.Fields.set("If-Match", "\"0\"");
  auto Again = F.caller().call(F.entries()[1]->Http, Request);
  BOOST_TEST(revisionOf(Again) == 3u);
  awaitInForce(F, allHosts(F), 3);
}

BOOST_AUTO_TEST_CASE(store_restored_from_a_copy_of_before_a_change) {
  Fleet F({});
  F.setFaults(F.platform(), R"({"copy_store":true})");
  auto Accepted = F.caller().call(F.entries()[0]->Http, hostOut("gone"));
  auto Revision = revisionOf(Accepted);
  awaitInForce(F, allHosts(F), Revision);
  F.setFaults(F.platform(), R"({"restore_store":true})");
  // An order that follows at once doesn't take the lost one back.
  CallResult Later;
  Fleet::await("an order is accepted", 5s, [&] {
    Later = F.caller().call(F.entries()[1]->Http, hostOut("other"));
    return Later.ok();
  });
  BOOST_TEST(revisionOf(Later) > Revision);
  awaitInForce(F, allHosts(F), revisionOf(Later));
  auto Catalogue =
      F.caller().call(F.entries()[2]->Http, adminRequest("GET", "catalogue"));
  BOOST_REQUIRE(Catalogue.ok());
  auto Json = Catalogue.json();
  auto &Out = Json.at("out_of_service").at("hosts").as_array();
  for (const char *Name : {"gone", "other"})
    BOOST_TEST(
        (std::find(Out.begin(), Out.end(), json::value(Name)) != Out.end()));
}

BOOST_AUTO_TEST_CASE(restored_store_gets_the_configuration_in_force_again) {
  Fleet F({});
  F.setFaults(F.platform(), R"({"copy_store":true})");
  auto Accepted = F.caller().call(F.entries()[0]->Http, hostOut("gone"));
  auto Revision = revisionOf(Accepted);
  awaitInForce(F, allHosts(F), Revision);
  F.setFaults(F.platform(), R"({"restore_store":true})");
  for (Fleet::Host *H : allHosts(F))
    Fleet::await("written again, at " + H->Name, 10s,
                 [&] { return revisionAt(F, *H) > Revision; });
  auto History =
      F.caller().call(F.entries()[1]->Http, adminRequest("GET", "history"));
  BOOST_REQUIRE(History.ok());
  auto Json = History.json();
  auto &Last = Json.at("history").as_array().back().as_object();
  BOOST_TEST(Last.at("revision").to_number<std::uint64_t>() == Revision + 1);
  BOOST_TEST(Last.at("summary").as_array().size() == 1u);
}

BOOST_AUTO_TEST_CASE(store_answer_lost_after_the_write) {
  Fleet F({});
  F.setFaults(F.platform(), R"({"only":"/v3/kv/txn","lose_answers":1})");
  auto Accepted = F.caller().call(F.entries()[0]->Http, hostOut("gone"));
  auto Revision = revisionOf(Accepted);
  BOOST_TEST(Revision == 2u);
  awaitInForce(F, allHosts(F), Revision);
  auto History =
      F.caller().call(F.entries()[1]->Http, adminRequest("GET", "history"));
  BOOST_REQUIRE(History.ok());
  BOOST_TEST(History.json().at("history").as_array().size() == 2u);
}

BOOST_AUTO_TEST_CASE(racing_operators) {
  Fleet F({});
  F.setFaults(F.platform(), R"({"only":"/v3/kv/txn","lose_answers":5})");
  std::vector<std::future<CallResult>> Sent;
  for (int I = 0; I < 24; ++I) {
    auto &Entry = *F.entries()[static_cast<std::size_t>(I) % 4];
    Sent.push_back(
        F.caller().start(Entry.Http, hostOut("gone-" + std::to_string(I))));
  }
  std::uint64_t Last = 0;
  std::vector<std::string> Accepted;
  for (std::size_t I = 0; I < Sent.size(); ++I) {
    CallResult Result = Sent[I].get();
    if (!Result.ok())
      continue;
    Last = std::max(Last, revisionOf(Result));
    Accepted.push_back("gone-" + std::to_string(I));
  }
  BOOST_TEST_MESSAGE("accepted " << Accepted.size() << " of 24");
  BOOST_TEST(!Accepted.empty());
  awaitInForce(F, allHosts(F), Last);
  auto Catalogue =
      F.caller().call(F.entries()[0]->Http, adminRequest("GET", "catalogue"));
  BOOST_REQUIRE(Catalogue.ok());
  auto Json = Catalogue.json();
  auto &Out = Json.at("out_of_service").at("hosts").as_array();
  for (const std::string &Name : Accepted)
    BOOST_TEST(
        (std::find(Out.begin(), Out.end(), json::value(Name)) != Out.end()));
}

BOOST_AUTO_TEST_CASE(one_of_two_documents_on_the_same_revision_wins) {
  Fleet F({});
  auto Current =
      F.caller().call(F.entries()[0]->Http, adminRequest("GET", "catalogue"));
  BOOST_REQUIRE(Current.ok());
  auto Request = adminRequest("PUT", "catalogue", Current.body());
  Request.Fields.set("If-Match", "\"1\"");
  std::vector<std::future<CallResult>> Sent;
  for (Fleet::Host *Entry : F.entries())
    Sent.push_back(F.caller().start(Entry->Http, Request));
  unsigned Won = 0;
  for (auto &Each : Sent) {
    CallResult Result = Each.get();
    if (Result.ok()) {
      ++Won;
      continue;
    }
    BOOST_TEST(Result.status() == 412u);
    BOOST_TEST(Result.ran() == "no");
    BOOST_TEST(Result.json().at("current_revision").to_number<int>() == 2);
  }
  BOOST_TEST(Won == 1u);
}

BOOST_AUTO_TEST_CASE(a_wrong_document_is_refused_and_the_last_one_kept) {
  Fleet F({});
  auto Request = adminRequest("PUT", "catalogue",
                              R"({"workspaces":[{"name":"a"}],"extra":1})");
  Request.Fields.set("If-Match", "\"1\"");
  auto Refused = F.caller().call(F.entries()[0]->Http, Request);
  BOOST_TEST(Refused.status() == 422u);
  BOOST_TEST(Refused.ran() == "no");
  BOOST_TEST(Refused.json().at("errors").as_array().size() == 2u);
  BOOST_TEST(revisionAt(F, *F.entries()[0]) == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
