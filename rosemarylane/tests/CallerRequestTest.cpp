#include "entry/CallerRequest.h"
#include "entry/RequestCheck.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;

namespace {

http::Request completion(std::string Body) {
  http::Request Request;
  Request.Method = "POST";
  Request.Target = "/v1/chat/completions";
  Request.Fields.set("Authorization", "Bearer secret");
  Request.Body = std::move(Body);
  return Request;
}

core::Configuration configuration() {
  core::Configuration Config;
  Config.Revision = 1;
  core::Workspace Owner;
  Owner.Name = core::WorkspaceId("registry");
  Owner.TokenDigest = core::Digest::of("secret");
  core::Workspace Other;
  Other.Name = core::WorkspaceId("other");
  Other.TokenDigest = core::Digest::of("another");
  Config.Workspaces = {Owner, Other};
  core::CatalogueEntry Entry;
  Entry.Name = core::EntryName("approvals");
  Entry.Owner = Owner.Name;
  Entry.Kind = core::TargetKind::Service;
  Entry.Idempotent = false;
  Config.Entries = {Entry};
  return Config;
}

CallerRequest approval() {
  CallerRequest Request;
  Request.Entry = core::EntryName("approvals");
  Request.TokenDigest = core::Digest::of("secret");
  Request.IdempotencyKey = "key-1";
  return Request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(caller_request)

BOOST_AUTO_TEST_CASE(completion_names_its_entry) {
  auto Parsed =
      parseCallerRequest(completion(R"({"model": "draft", "stream": true})"));
  BOOST_REQUIRE(Parsed);
  BOOST_TEST(Parsed->Entry.str() == "draft");
  BOOST_TEST(Parsed->Stream);
  BOOST_TEST((Parsed->TokenDigest == core::Digest::of("secret")));
}

BOOST_AUTO_TEST_CASE(malformed_bodies_are_refused_as_not_run) {
  for (const char *Body : {"", "{", "[]", R"({"model": 3})",
                           R"({"model": "draft", "stream": "yes"})"}) {
    auto Parsed = parseCallerRequest(completion(Body));
    BOOST_REQUIRE(!Parsed);
    BOOST_TEST((Parsed.error().Ran == ledger::Ran::No));
    BOOST_TEST(problemResponse(Parsed.error()).Head.Status == 400u);
  }
}

BOOST_AUTO_TEST_CASE(service_path_is_passed_on_without_its_prefix) {
  http::Request Request;
  Request.Method = "POST";
  Request.Target = "/v1/services/orders/engrave?copies=1";
  auto Parsed = parseCallerRequest(Request);
  BOOST_REQUIRE(Parsed);
  BOOST_TEST(Parsed->Entry.str() == "orders");
  BOOST_TEST(Parsed->TargetPath == "/engrave?copies=1");
  Request.Target = "/v1/services/orders";
  BOOST_TEST(parseCallerRequest(Request)->TargetPath == "/");
}

BOOST_AUTO_TEST_CASE(same_call_has_the_same_digest) {
  auto First = parseCallerRequest(completion(R"({"model": "a"})"));
  auto Again = parseCallerRequest(completion(R"({"model": "a"})"));
  auto Other = parseCallerRequest(completion(R"({"model": "b"})"));
  BOOST_TEST((First->Digest == Again->Digest));
  BOOST_TEST((First->Digest != Other->Digest));
}

BOOST_AUTO_TEST_CASE(workspace_sees_its_own_entries_only) {
  auto Config = configuration();
  BOOST_TEST(checkRequest(Config, approval()).has_value());
  CallerRequest Foreign = approval();
  Foreign.TokenDigest = core::Digest::of("another");
  BOOST_TEST((checkRequest(Config, Foreign).error().Kind ==
              ProblemKind::UnknownEntry));
  Foreign.TokenDigest = core::Digest::of("stolen");
  BOOST_TEST((checkRequest(Config, Foreign).error().Kind ==
              ProblemKind::Unauthorised));
}

BOOST_AUTO_TEST_CASE(call_that_may_not_be_repeated_needs_a_key) {
  auto Config = configuration();
  CallerRequest Keyless = approval();
  Keyless.IdempotencyKey.clear();
  BOOST_TEST((checkRequest(Config, Keyless).error().Kind ==
              ProblemKind::IdempotencyKeyMissing));
  Keyless.SafeMethod = true;
  BOOST_TEST(checkRequest(Config, Keyless)->Repeatable);
}

BOOST_AUTO_TEST_CASE(nothing_is_served_before_a_configuration_is_known) {
  BOOST_TEST((checkRequest({}, approval()).error().Kind ==
              ProblemKind::NoConfiguration));
}

BOOST_AUTO_TEST_SUITE_END()
