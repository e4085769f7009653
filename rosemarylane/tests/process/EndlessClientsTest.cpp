/// Clients that send without end, hold connections or send whole requests that
/// are large, at the addresses of entries and agents.

#include "EndlessClients.h"
#include "Fleet.h"

#include <boost/test/unit_test.hpp>
#include <list>
#include <optional>

using namespace rosemarylane;
using namespace rosemarylane::process_tests;
using namespace std::chrono_literals;

namespace {

/// What the process may take beside what it held before, for all ways to send
/// without end one after another: a sixth of what an entry may have. The
/// clients may send 64 MiB each time; four bodies within the limit have 16 MiB.
constexpr std::size_t MemoryGrowthKiB = 40 << 10;
constexpr std::size_t MoreDescriptors = 16;

void sendAll(ChildProcess &Process, const std::string &Address,
             const std::string &Head) {
  std::size_t Memory = peakMemoryKiB(Process);
  std::size_t Descriptors = openDescriptors(Process);
  for (const EndlessRequest &Request : endlessRequests())
    BOOST_TEST_CONTEXT(Request.Name) {
      EndlessBounds Bounds;
      EndlessClients Clients(Address, Bounds.Clients);
      Clients.send(Head, Request, Bounds);
      BOOST_REQUIRE(Process.running());
      std::size_t Growth = settledMemoryKiB(Process) - Memory;
      BOOST_TEST_MESSAGE(Request.Name << ": memory grew by " << Growth
                                      << " KiB so far");
      BOOST_TEST(Growth < MemoryGrowthKiB);
    }
  Fleet::await("the connections are closed", 5s, [&] {
    return openDescriptors(Process) <= Descriptors + MoreDescriptors;
  });
}

std::string head(const std::string &Path) {
  return "POST " + Path +
         " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer caller-token\r\n"
         "Idempotency-Key: endless\r\n";
}

struct EndlessClientsFixture {
  bool serves() {
    auto *Entry = F.entries().front();
    return F.caller().call(Entry->Http, F.order("calm", "x"), 5s).ok();
  }

  Fleet F{FleetOptions{{"a"}, 1, 0, 1, {}, {}}};
};

/// What each process may open, and the crowd that wants more.
constexpr std::size_t LowDescriptors = 300;
constexpr std::size_t CrowdClients = 400;

/// What a process may hold at the size to design for, 256 MB.
constexpr std::size_t MaxMemoryKiB = 256'000'000 / 1024;
constexpr std::size_t MaxBodyBytes = 4 << 20;
constexpr std::size_t LargeBodyClients = 100;
/// As many of them send at the same time.
constexpr std::size_t LargeBodiesAtOnce = 4;

/// Clients that send many requests at once and read no answer.
constexpr std::size_t PipeliningClients = 200;
constexpr std::size_t PipelinedRequests = 2000;
constexpr int SmallReceiveBuffer = 4096;

/// A fleet whose processes may open few descriptors.
struct LowDescriptorsFixture {
  LowDescriptorsFixture() {
    DescriptorLimit Lowered(LowDescriptors);
    F.emplace(FleetOptions{{"a"}, 1, 0, 1, {}, {}});
  }

  /// Requests and the checks of entry and agent are answered.
  void expectServing() {
    auto *Entry = F->entries().front();
    auto *Agent = F->agents().front();
    auto Answers = [&](const std::string &Address, const char *Path) {
      http::Request Get;
      Get.Method = "GET";
      Get.Target = Path;
      return F->caller().call(Address, Get, 5s).ok();
    };
    BOOST_TEST(F->caller().call(Entry->Http, F->order("beside", "x"), 5s).ok());
    BOOST_TEST(Answers(Entry->Http, "/readyz"));
    BOOST_TEST(Answers(Agent->Http, "/healthz"));
  }

  /// A crowd sends \p Bytes to a host and waits.
  void expectServingBeside(Fleet::Host &At, const std::string &Bytes) {
    std::size_t Descriptors = openDescriptors(*At.Process);
    {
      EndlessClients Clients(At.Http, CrowdClients);
      Clients.sendOnce(Bytes, 5s);
      BOOST_TEST(settledDescriptors(*At.Process) < LowDescriptors);
      expectServing();
    }
    Fleet::await("the connections are closed", 5s, [&] {
      return openDescriptors(*At.Process) <= Descriptors + MoreDescriptors;
    });
    expectServing();
  }

  std::optional<Fleet> F;
};

} // namespace

BOOST_AUTO_TEST_SUITE(endless_clients)

BOOST_FIXTURE_TEST_CASE(crowds_that_wait_leave_connections_to_others,
                        LowDescriptorsFixture) {
  const std::string Start = head("/v1/services/orders/place");
  for (auto *Host : {F->entries().front(), F->agents().front()})
    for (const std::string &Bytes :
         {std::string(), Start, Start + "Content-Length: 100\r\n\r\na"})
      expectServingBeside(*Host, Bytes);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(endless_clients, EndlessClientsFixture)

BOOST_AUTO_TEST_CASE(entry_keeps_no_more_than_its_limit_of_callers) {
  auto *Entry = F.entries().front();
  sendAll(*Entry->Process, Entry->Http, head("/v1/services/orders/place"));
  BOOST_TEST(serves());
}

BOOST_AUTO_TEST_CASE(entry_keeps_no_more_than_its_limit_of_operators) {
  auto *Entry = F.entries().front();
  sendAll(*Entry->Process, Entry->Http, head("/admin/v1/catalogue"));
  BOOST_TEST(serves());
}

/// Each client stays within the limits of one request. All have the same key,
/// so that they wait for the first one, whose service stands still.
BOOST_AUTO_TEST_CASE(whole_bodies_in_progress_fit_the_entry) {
  auto *Entry = F.entries().front();
  auto *Agent = F.agents().front();
  std::string Bytes = head("/v1/services/orders/place") +
                      "Content-Length: " + std::to_string(MaxBodyBytes) +
                      "\r\n\r\n" + std::string(MaxBodyBytes, 'a');
  Agent->TargetProcess->freeze();
  {
    std::list<EndlessClients> Crowd;
    while (Crowd.size() < LargeBodyClients / LargeBodiesAtOnce) {
      Crowd.emplace_back(Entry->Http, LargeBodiesAtOnce);
      Crowd.back().sendOnce(Bytes, 20s);
      (void)settledMemoryKiB(*Entry->Process);
    }
    for (auto *Host : {Entry, Agent}) {
      std::size_t Peak = settledMemoryKiB(*Host->Process);
      BOOST_TEST_MESSAGE(Host->Name << ": at most " << Peak << " KiB");
      BOOST_TEST(Peak < MaxMemoryKiB);
      BOOST_TEST(Host->Process->running());
    }
    Agent->TargetProcess->resume();
  }
  Fleet::await("orders are served", 10s, [&] { return serves(); });
}

BOOST_AUTO_TEST_CASE(answers_that_nobody_reads_fit_the_host) {
  for (auto *Host : {F.entries().front(), F.agents().front()}) {
    std::size_t SocketsBefore = socketMemoryKiB();
    EndlessClients Clients(Host->Http, PipeliningClients, SmallReceiveBuffer);
    Clients.sendOnce(pipelined("/metrics", PipelinedRequests), 5s);
    std::size_t Peak = settledMemoryKiB(*Host->Process);
    std::size_t InSockets = socketMemoryKiB() - SocketsBefore;
    BOOST_TEST_MESSAGE(Host->Name << ": at most " << Peak << " KiB, and "
                                  << InSockets << " KiB in sockets");
    BOOST_TEST(Peak + InSockets < MaxMemoryKiB);
    BOOST_TEST(serves());
  }
}

BOOST_AUTO_TEST_CASE(agent_keeps_no_more_than_its_limit) {
  auto *Agent = F.agents().front();
  sendAll(*Agent->Process, Agent->Http, head("/healthz"));
  BOOST_TEST(serves());
}

BOOST_AUTO_TEST_CASE(peers_doors_keep_no_more_than_their_limit) {
  auto *Entry = F.entries().front();
  sendAll(*Entry->Process, Entry->Peers, head("/"));
  auto *Agent = F.agents().front();
  sendAll(*Agent->Process, Agent->Peers, head("/"));
  BOOST_TEST(serves());
}

BOOST_AUTO_TEST_SUITE_END()
