/// The administration API and the commands on top of it.

#include "Fleet.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace json = boost::json;

namespace {

constexpr char Operator[] = "operator-token";
constexpr char Caller[] = "caller-token";

http::Request request(std::string Method, const std::string &Resource,
                      const std::string &Token, std::string Body = "") {
  http::Request Request;
  Request.Method = std::move(Method);
  Request.Target = "/admin/v1/" + Resource;
  if (!Token.empty())
    Request.Fields.set("Authorization", "Bearer " + Token);
  Request.Body = std::move(Body);
  return Request;
}

/// Runs the program to its end.
int exitCode(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), ROSEMARYLANE_PROGRAM);
  ChildProcess Process(Arguments, "/dev/null");
  return Process.wait(20s).value_or(-1);
}

/// A file that goes with the test.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &Contents)
      : Path((std::filesystem::temp_directory_path() /
              ("rosemarylane-test-" + std::to_string(getpid()) + "-" +
               std::to_string(++Made)))
                 .string()) {
    std::ofstream(Path) << Contents;
  }
  ~TemporaryFile() { std::filesystem::remove(Path); }

  const std::string &path() const { return Path; }

private:
  static inline int Made = 0;
  std::string Path;
};

} // namespace

BOOST_AUTO_TEST_SUITE(administration)

BOOST_AUTO_TEST_CASE(who_may_do_what) {
  Fleet F({});
  const std::string &Entry = F.entries()[0]->Http;
  auto Call = [&](const http::Request &R) { return F.caller().call(Entry, R); };
  BOOST_TEST(Call(request("GET", "catalogue", "")).status() == 401u);
  BOOST_TEST(Call(request("GET", "catalogue", "wrong")).status() == 401u);
  BOOST_TEST(Call(request("GET", "status", Caller)).status() == 403u);
  BOOST_TEST(Call(request("GET", "history", Caller)).status() == 403u);
  auto Order = R"({"host":"h","out":true})";
  auto Refused = Call(request("POST", "out-of-service", Caller, Order));
  BOOST_TEST(Refused.status() == 403u);
  BOOST_TEST(Refused.ran() == "no");

  auto Own = Call(request("GET", "catalogue", Caller)).json();
  auto All = Call(request("GET", "catalogue", Operator)).json();
  BOOST_TEST(Own.at("workspaces").as_array().size() == 1u);
  BOOST_TEST(All.at("workspaces").as_array().size() == 2u);
}

BOOST_AUTO_TEST_CASE(broken_requests_are_refused_and_change_nothing) {
  Fleet F({});
  const std::string &Entry = F.entries()[0]->Http;
  auto Put = [&](const std::string &IfMatch, const std::string &Body) {
    auto Request = request("PUT", "catalogue", Operator, Body);
    if (!IfMatch.empty())
      Request.Fields.set("If-Match", IfMatch);
    return F.caller().call(Entry, Request);
  };
  auto Current =
      F.caller().call(Entry, request("GET", "catalogue", Operator)).body();
  BOOST_TEST(Put("", Current).status() == 428u);
  BOOST_TEST(Put("*", Current).status() == 400u);
  BOOST_TEST(Put("\"7\"", Current).status() == 412u);
  BOOST_TEST(Put("\"1\"", "{").status() == 422u);
  // Nobody could change the configuration any more.
  BOOST_TEST(Put("\"1\"", R"({"workspaces":[]})").status() == 422u);
  auto Wrong = F.caller().call(
      Entry, request("POST", "out-of-service", Operator, R"({"out":1})"));
  BOOST_TEST(Wrong.status() == 422u);
  BOOST_TEST(
      F.caller().call(Entry, request("GET", "nothing", Operator)).status() ==
      404u);
  auto NotAllowed =
      F.caller().call(Entry, request("DELETE", "catalogue", Operator));
  BOOST_TEST(NotAllowed.status() == 405u);
  BOOST_TEST(*NotAllowed.Answer->Head.Fields.find("Allow") == "GET, PUT");
  auto History =
      F.caller().call(Entry, request("GET", "history", Operator)).json();
  BOOST_TEST(History.at("history").as_array().size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_repeated_change_is_made_once) {
  Fleet F({});
  auto Order =
      request("POST", "out-of-service", Operator, R"({"host":"h","out":true})");
  Order.Fields.set("Idempotency-Key", "change-1");
  for (Fleet::Host *Entry : F.entries()) {
    auto Made = F.caller().call(Entry->Http, Order).json();
    BOOST_TEST(Made.at("revision").to_number<int>() == 2);
    BOOST_TEST(Made.at("change").as_string() == "change-1");
  }
}

BOOST_AUTO_TEST_CASE(status_tells_what_each_process_has_in_force) {
  Fleet F({});
  std::size_t Processes = F.entries().size() + F.agents().size();
  Fleet::await("every process is listed at revision 1", 10s, [&] {
    auto Status =
        F.caller()
            .call(F.entries()[0]->Http, request("GET", "status", Operator))
            .json();
    std::size_t InForce = 0;
    for (const json::value &Member : Status.at("members").as_array())
      if (Member.at("revision").to_number<int>() == 1)
        ++InForce;
    return InForce == Processes;
  });
}

BOOST_AUTO_TEST_CASE(commands_and_their_exit_codes) {
  Fleet F({});
  TemporaryFile Token("operator-token\n");
  std::vector<std::string> Base{"ctl", "--server", F.entries()[0]->Http,
                                "--token-file", Token.path()};
  auto Ctl = [&](std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(), Base.begin(), Base.end());
    return exitCode(Arguments);
  };
  BOOST_TEST(Ctl({"get"}) == 0);
  BOOST_TEST(Ctl({"--output", "json", "status"}) == 0);
  BOOST_TEST(Ctl({"history"}) == 0);
  BOOST_TEST(Ctl({"rollout"}) == 0);
  BOOST_TEST(Ctl({"out", "host", "h", "--watch"}) == 0);
  BOOST_TEST(Ctl({"in", "host", "h"}) == 0);
  BOOST_TEST(Ctl({"out", "planet", "h"}) == 2);
  BOOST_TEST(Ctl({"unknown"}) == 2);
  BOOST_TEST(Ctl({}) == 2);

  auto Current =
      F.caller()
          .call(F.entries()[0]->Http, request("GET", "catalogue", Operator))
          .body();
  TemporaryFile Document(Current);
  BOOST_TEST(Ctl({"diff", Document.path()}) == 0);
  BOOST_TEST(Ctl({"apply", Document.path()}) == 0);
  // The document still builds on the revision that it was read at.
  BOOST_TEST(Ctl({"apply", Document.path()}) == 4);
  TemporaryFile Wrong(R"({"entries":[{"name":"x"}]})");
  BOOST_TEST(Ctl({"apply", Wrong.path()}) == 3);
  BOOST_TEST(exitCode({"check", "--catalogue", Document.path()}) == 0);
  BOOST_TEST(exitCode({"check", "--catalogue", Wrong.path()}) == 3);
  BOOST_TEST(exitCode({"check", "--settings", "entry", Wrong.path()}) == 3);
  BOOST_TEST(exitCode({"check", Wrong.path()}) == 2);

  TemporaryFile CallerToken("caller-token");
  BOOST_TEST(exitCode({"ctl", "--server", F.entries()[0]->Http, "--token-file",
                       CallerToken.path(), "status"}) == 1);
  BOOST_TEST(exitCode({"ctl", "--server", "127.0.0.1:1", "--token-file",
                       Token.path(), "get"}) == 5);
  for (const char *Command : {"ctl", "check", "entry", "agent"}) {
    BOOST_TEST(exitCode({Command, "--help"}) == 0);
    BOOST_TEST(exitCode({Command, "--version"}) == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()
