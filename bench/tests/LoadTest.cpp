#include "bench/Load.h"

#include "http/Server.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::bench;

namespace {

constexpr std::size_t RingCapacity = 1024;
constexpr std::chrono::milliseconds Length{500};

/// A server that answers by the request's path, and a client to load it with.
struct LoadedServer {
  LoadedServer() {
    auto Listening = http::Server::listen(
        *Serving, {.Address = "127.0.0.1:0"},
        [](const std::shared_ptr<http::Exchange> &Call) { answer(*Call); });
    Server = std::move(*Listening);
  }

  static void answer(http::Exchange &Call) {
    const std::string &Path = Call.request().Target;
    if (Path == "/served")
      return Call.respond(http::jsonResponse(200, "{}"));
    if (Path == "/refused")
      return Call.respond(http::jsonResponse(503, R"({"ran": "no"})"));
    if (Path == "/unknown")
      return Call.respond(http::jsonResponse(502, R"({"ran": "unknown"})"));
    Call.startStream({200, {{"Content-Type", "text/event-stream"}}});
    Call.write("data: {}\n\n");
    if (Path == "/cut")
      return Call.abort();
    if (Path == "/stream")
      Call.write("data: [DONE]\n\n");
    Call.finish();
  }

  /// Loads one path and counts the outcomes.
  void load(const std::string &Path) {
    LoadShape Shape;
    Shape.RatePerSecond = 100;
    Shape.Length = Length;
    Shape.Seed = 7;
    Shape.Next = [&](std::uint64_t, std::mt19937_64 &) {
      return Call{"127.0.0.1:" + std::to_string(Server->port()),
                  {"GET", Path, {}, {}},
                  0};
    };
    Records = runLoad(*Client, Shape);
    Summary = summarize(Records, std::chrono::seconds(0), Length);
  }

  std::unique_ptr<runtime::Duty> Serving =
      runtime::Duty::start("serving", RingCapacity, nullptr);
  std::unique_ptr<runtime::Duty> Calling =
      runtime::Duty::start("calling", RingCapacity, nullptr);
  std::unique_ptr<http::Server> Server;
  std::unique_ptr<http::Client> Client = http::Client::create(*Calling);
  std::vector<CallRecord> Records;
  LoadSummary Summary;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadTest, LoadedServer)

BOOST_AUTO_TEST_CASE(a_whole_answer_counts_as_served) {
  load("/served");
  BOOST_TEST(Summary.Served == Records.size());
  BOOST_TEST(Summary.Served > 0U);
}

BOOST_AUTO_TEST_CASE(only_a_proved_refusal_counts_as_refused) {
  load("/refused");
  BOOST_TEST(Summary.Refused == Records.size());
  load("/unknown");
  BOOST_TEST(Summary.Failed == Records.size());
}

BOOST_AUTO_TEST_CASE(a_stream_is_served_only_with_its_end_mark) {
  load("/stream");
  BOOST_TEST(Summary.Served == Records.size());
  load("/unfinished");
  BOOST_TEST(Summary.Failed == Records.size());
  load("/cut");
  BOOST_TEST(Summary.Failed == Records.size());
}

BOOST_AUTO_TEST_CASE(a_dead_address_counts_as_failed) {
  Server.reset();
  std::string Path = "/served";
  LoadShape Shape;
  Shape.RatePerSecond = 50;
  Shape.Length = Length;
  Shape.Next = [&](std::uint64_t, std::mt19937_64 &) {
    return Call{"127.0.0.1:1", {"GET", Path, {}, {}}, 0};
  };
  Records = runLoad(*Client, Shape);
  Summary = summarize(Records, std::chrono::seconds(0), Length);
  BOOST_TEST(Summary.Failed == Records.size());
}

BOOST_AUTO_TEST_CASE(the_same_seed_gives_the_same_arrivals) {
  load("/served");
  std::vector<CallRecord> First = Records;
  load("/served");
  BOOST_REQUIRE(First.size() == Records.size());
  for (std::size_t I = 0; I < First.size(); ++I)
    BOOST_TEST(First[I].Due.count() == Records[I].Due.count());
}

BOOST_AUTO_TEST_SUITE_END()
