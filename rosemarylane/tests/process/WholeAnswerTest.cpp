/// Every caller gets the whole answer to its own request, or is told that it
/// did not.

#include "Load.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Callers = 12;

FleetOptions engines(int PerDomain = 1) {
  FleetOptions Options;
  Options.Services = 0;
  Options.EnginesPerDomain = PerDomain;
  return Options;
}

/// Lets the load go on until \p More further calls are answered.
void runWhole(Fleet &F, const std::function<void()> &Fault,
              const std::function<void()> &Heal, bool Stream) {
  Load Chats(F, Callers, chatCalls(F, Stream));
  std::this_thread::sleep_for(300ms);
  Fault();
  std::this_thread::sleep_for(1500ms);
  Heal();
  std::this_thread::sleep_for(700ms);
  LoadReport Report = Chats.stop();
  BOOST_TEST_MESSAGE(Report);
  BOOST_TEST(Report.Wrong == 0u, Report);
  BOOST_TEST(Report.Answered > 50u, Report);
}

} // namespace

BOOST_AUTO_TEST_SUITE(whole_answer)

BOOST_AUTO_TEST_CASE(each_caller_gets_its_own_bytes) {
  Fleet F(engines(2));
  for (bool Stream : {false, true}) {
    Load Chats(F, 32, chatCalls(F, Stream));
    std::this_thread::sleep_for(1500ms);
    LoadReport Report = Chats.stop();
    BOOST_TEST_MESSAGE(Report);
    BOOST_TEST(Report.Wrong == 0u, Report);
    BOOST_TEST(Report.NotWhole == 0u, Report);
    BOOST_TEST(Report.Answered > 100u, Report);
  }
}

BOOST_AUTO_TEST_CASE(engine_cuts_its_answers) {
  Fleet F(engines());
  const std::string Engine = F.engineAgents()[0]->Target;
  for (bool Stream : {false, true})
    runWhole(
        F, [&] { F.setFaults(Engine, R"({"only":"/v1/","cut_answers":40})"); },
        [&] { F.setFaults(Engine, R"({"cut_answers":0})"); }, Stream);
}

BOOST_AUTO_TEST_CASE(engine_loses_its_answers) {
  Fleet F(engines());
  const std::string Engine = F.engineAgents()[0]->Target;
  for (bool Stream : {false, true})
    runWhole(
        F, [&] { F.setFaults(Engine, R"({"only":"/v1/","lose_answers":40})"); },
        [&] { F.setFaults(Engine, R"({"lose_answers":0})"); }, Stream);
}

BOOST_AUTO_TEST_CASE(engine_crashes_in_mid_answer) {
  Fleet F(engines());
  const std::string Engine = F.engineAgents()[0]->Target;
  for (bool Stream : {false, true})
    runWhole(
        F, [&] { F.setFaults(Engine, R"({"crash":true})"); }, [] {}, Stream);
}

BOOST_AUTO_TEST_CASE(agent_is_killed_and_replaced) {
  Fleet F(engines());
  Fleet::Host &Agent = *F.engineAgents()[0];
  for (bool Stream : {false, true})
    runWhole(
        F, [&] { Agent.Process->kill(); }, [&] { F.startHost(Agent); }, Stream);
}

BOOST_AUTO_TEST_CASE(agent_is_frozen_and_answers_late) {
  Fleet F(engines());
  Fleet::Host &Agent = *F.engineAgents()[0];
  for (bool Stream : {false, true})
    runWhole(
        F, [&] { Agent.Process->freeze(); }, [&] { Agent.Process->resume(); },
        Stream);
}

BOOST_AUTO_TEST_CASE(entry_is_killed_and_replaced) {
  Fleet F(engines());
  Fleet::Host &Entry = *F.entries()[0];
  for (bool Stream : {false, true})
    runWhole(
        F, [&] { Entry.Process->kill(); }, [&] { F.startHost(Entry); }, Stream);
}

BOOST_AUTO_TEST_CASE(entry_is_frozen_and_answers_late) {
  Fleet F(engines());
  Fleet::Host &Entry = *F.entries()[0];
  for (bool Stream : {false, true})
    runWhole(
        F, [&] { Entry.Process->freeze(); }, [&] { Entry.Process->resume(); },
        Stream);
}

BOOST_AUTO_TEST_CASE(engine_connections_fall_silent) {
  Fleet F(engines());
  const std::string Engine = F.engineAgents()[0]->Target;
  for (bool Stream : {false, true})
    runWhole(
        F, [&] { F.setFaults(Engine, R"({"silent_existing":true})"); }, [] {},
        Stream);
}

BOOST_AUTO_TEST_CASE(slow_reader_holds_nobody_up) {
  FleetOptions Options = engines();
  Options.EngineArguments = {"--tokens", "20000",         "--token-interval-us",
                             "20",       "--concurrency", "64"};
  Fleet F(Options);
  boost::asio::io_context Context;
  boost::asio::ip::tcp::socket Slow(Context);
  const std::string &Address = F.entries()[0]->Http;
  auto Colon = Address.find(':');
  Slow.open(boost::asio::ip::tcp::v4());
  Slow.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  Slow.connect(
      {boost::asio::ip::make_address(Address.substr(0, Colon)),
       static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1)))});
  http::Request Ask = F.chat("slow", true);
  std::string Bytes = Ask.Method + " " + Ask.Target + " HTTP/1.1\r\n" +
                      "Host: h\r\nConnection: close\r\nContent-Length: " +
                      std::to_string(Ask.Body.size()) + "\r\n";
  for (const auto &[Name, Value] : Ask.Fields)
    Bytes += Name + ": " + Value + "\r\n";
  boost::asio::write(Slow, boost::asio::buffer(Bytes + "\r\n" + Ask.Body));
  // While the slow caller reads nothing, others are served through the same
  // entry.
  for (int I = 0; I < 5; ++I) {
    auto Other = F.caller().call(F.entries()[0]->Http, F.chat("quick", true));
    BOOST_TEST(Other.ok(),
               Other.Error << Other.status() << " " << Other.body());
  }
  std::string Answer;
  boost::system::error_code Error;
  boost::asio::read(Slow, boost::asio::dynamic_buffer(Answer), Error);
  bool Ended = Answer.ends_with("0\r\n\r\n");
  bool Done = Answer.find("data: [DONE]") != std::string::npos;
  BOOST_TEST_MESSAGE("slow reader got " << Answer.size() << " bytes, "
                                        << (Ended ? "whole" : "cut"));
  BOOST_TEST(Ended == Done);
  BOOST_TEST(Ended, "a caller that reads on after a pause gets the rest");
}

BOOST_AUTO_TEST_SUITE_END()
