#include "common/Settings.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;

namespace {

std::string document(const std::string &More,
                     const std::string &Http = "127.0.0.1:8001") {
  return R"({"host":"n1","region":"nairobi","failure_domain":"nairobi-1",
    "listen":{"http":")" +
         Http + R"(","peers":"127.0.0.1:9001"},
    "platform":{"key_value":"127.0.0.1:1","host_list":"127.0.0.1:2",
                "origin":"127.0.0.1:3"})" +
         More + "}";
}

std::string errorPaths(ProcessKind Kind, const std::string &Json) {
  auto Parsed = parseSettings(Kind, Json);
  if (Parsed)
    return "none";
  std::string Paths;
  for (const core::DocumentError &E : Parsed.error())
    Paths += (Paths.empty() ? "" : " ") + E.Path;
  return Paths;
}

} // namespace

BOOST_AUTO_TEST_SUITE(settings)

BOOST_AUTO_TEST_CASE(entry_settings) {
  auto Parsed =
      parseSettings(ProcessKind::Entry, document(R"(,"log_level":"debug",
        "ledger":{"retention_minutes":90})"));
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST(Parsed->PeerAddress == "127.0.0.1:9001");
  BOOST_TEST(Parsed->LogLevel == "debug");
  BOOST_TEST((Parsed->LedgerRetention == std::chrono::minutes(90)));
}

BOOST_AUTO_TEST_CASE(agent_settings) {
  auto Parsed = parseSettings(
      ProcessKind::Agent,
      document(R"(,"target":{"address":"127.0.0.1:7","kind":"service",
        "serves":"orders"},"bandwidth":{"uplink_bytes_per_second":5})"));
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST(Parsed->Target.Serves.str() == "orders");
  BOOST_TEST(Parsed->Bandwidth.Uplink == 5u);
}

BOOST_AUTO_TEST_CASE(errors_are_named_by_path) {
  BOOST_TEST(errorPaths(ProcessKind::Entry,
                        document(R"(,"targt":{},"log_level":"loud")")) ==
             "$.log_level $.targt");
  BOOST_TEST(errorPaths(ProcessKind::Entry,
                        document(R"(,"target":{"address":"127.0.0.1:7"})",
                                 "localhost:80")) == "$.listen.http $.target");
  BOOST_TEST(errorPaths(ProcessKind::Agent, document("")) == "$.target");
  BOOST_TEST(errorPaths(ProcessKind::Entry,
                        document(R"(,"ledger":{"retention_minutes":5})")) ==
             "$.ledger.retention_minutes");
  BOOST_TEST(errorPaths(ProcessKind::Agent,
                        document(R"(,"target":{"address":"127.0.0.1:0",
        "kind":"service"})")) == "$.target.address $.target.serves");
}

BOOST_AUTO_TEST_SUITE_END()
