#include "core/ConfigurationCodec.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane::core;

namespace {

const std::string TokenA(64, 'a');
const std::string TokenB(64, 'b');
const std::string Version = "sha256:" + std::string(64, '1');

std::string workspaces() {
  return R"("workspaces":[{"name":"authority","token_sha256":")" + TokenA +
         R"("},{"name":"ops","role":"operator","token_sha256":")" + TokenB +
         R"("}])";
}

std::string withEntries(const std::string &Entries) {
  return "{" + workspaces() + R"(,"entries":[)" + Entries + "]}";
}

std::string model(const std::string &Name, const std::string &Extra = "") {
  return R"({"name":")" + Name + R"(","owner":"authority","version":")" +
         Version + "\"" + Extra + "}";
}

/// @return the paths of all errors in order, separated by spaces, or "none" if
/// the document is valid.
std::string errorPaths(const std::string &Json) {
  auto Parsed = parseConfiguration(Json);
  if (Parsed)
    return "none";
  std::string Paths;
  for (const DocumentError &E : Parsed.error()) {
    BOOST_TEST(!E.Found.empty());
    BOOST_TEST(!E.Expected.empty());
    Paths += (Paths.empty() ? "" : " ") + E.Path;
  }
  return Paths;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_codec)

BOOST_AUTO_TEST_CASE(defaults_and_round_trip) {
  auto Parsed = parseConfiguration(withEntries(
      model("draft", R"(,"class":"batch","limits":{"rate_per_second":2.5})") +
      "," + model("lora", R"(,"base_model":"draft")") +
      R"(,{"name":"orders","owner":"ops","kind":"service","idempotent":false})"));
  BOOST_REQUIRE(Parsed.has_value());
  BOOST_TEST(Parsed->Entries.size() == 3u);
  const CatalogueEntry &Draft = *Parsed->entry(EntryName("draft"));
  BOOST_TEST(Draft.Limit.RatePerSecond == 2.5);
  BOOST_TEST(Draft.Limit.Concurrency == Limits().Concurrency);
  BOOST_TEST((Draft.Class == TrafficClass::Batch));
  Parsed->Revision = 7;
  Parsed->OutOfServiceHosts.emplace("h1");
  Parsed->OutOfServiceFailureDomains.emplace("rift");
  auto Reparsed = parseConfiguration(formatConfiguration(*Parsed));
  BOOST_REQUIRE(Reparsed.has_value());
  BOOST_TEST((*Reparsed == *Parsed));
}

BOOST_AUTO_TEST_CASE(all_schema_errors_at_once) {
  BOOST_TEST(
      errorPaths(withEntries(
          model("draft",
                R"(,"limits":{"queue":-1,"concurency":4,"rate":"2/s"})") +
          "," +
          model("x", R"(,"replicas":"3","class":"urgent","idempotent":1)"))) ==
      "$.entries[0].limits.queue $.entries[0].limits.concurency "
      "$.entries[0].limits.rate "
      "$.entries[1].class $.entries[1].idempotent $.entries[1].replicas");
}

BOOST_AUTO_TEST_CASE(errors_report_found_and_expected_values) {
  auto Parsed = parseConfiguration(
      withEntries(model("draft", R"(,"limits":{"concurrency":0,"rate":1})")));
  BOOST_REQUIRE(!Parsed);
  BOOST_REQUIRE(Parsed.error().size() == 2u);
  BOOST_TEST(Parsed.error()[1].Found == "1");
  BOOST_TEST(Parsed.error()[1].Expected ==
             "no such key; known keys: concurrency, rate_per_second, queue");
  BOOST_TEST(Parsed.error()[0].Found == "0");
  BOOST_TEST(Parsed.error()[0].Expected ==
             "requests in progress at one target: a whole number from 1 to "
             "100000");
}

BOOST_AUTO_TEST_CASE(missing_keys_are_reported) {
  BOOST_TEST(errorPaths(R"({"workspaces":[{}]})") ==
             "$.workspaces[0].name $.workspaces[0].token_sha256");
}

BOOST_AUTO_TEST_CASE(all_reference_errors_at_once) {
  BOOST_TEST(
      errorPaths(withEntries(
          model("draft", R"(,"replicas":2,"serving_floor":3)") + "," +
          model("draft") + "," + model("lora", R"(,"base_model":"none")") +
          R"(,{"name":"m","owner":"nobody"})"
          R"(,{"name":"s","owner":"ops","kind":"service","version":")" +
          Version + "\"}")) ==
      "$.entries[0].serving_floor $.entries[1].name $.entries[2].base_model "
      "$.entries[3].owner $.entries[3].version $.entries[4].version");
}

BOOST_AUTO_TEST_CASE(duplicate_workspaces_and_tokens_are_rejected) {
  BOOST_TEST(errorPaths(R"({"workspaces":[{"name":"a","token_sha256":")" +
                        TokenA + R"("},{"name":"a","token_sha256":")" + TokenA +
                        R"("}]})") ==
             "$.workspaces[1].name $.workspaces[1].token_sha256");
}

BOOST_AUTO_TEST_CASE(all_zero_token_digest_is_rejected) {
  BOOST_TEST(errorPaths(R"({"workspaces":[{"name":"a","token_sha256":")" +
                        std::string(64, '0') + "\"}]}") ==
             "$.workspaces[0].token_sha256");
}

BOOST_AUTO_TEST_CASE(malformed_json_is_rejected) {
  BOOST_TEST(errorPaths("{\"entries\": [}") == "$");
  BOOST_TEST(errorPaths("") == "$");
  BOOST_TEST(errorPaths("[]") == "$");
}

BOOST_AUTO_TEST_SUITE_END()
