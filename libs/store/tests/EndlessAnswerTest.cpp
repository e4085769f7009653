#include "EndlessServer.h"
#include "store/EtcdKeyValue.h"
#include "store/HostList.h"
#include "store/Origin.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace rosemarylane;
using namespace rosemarylane::store;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 5s;
constexpr auto CallDeadline = 200ms;
/// What one answer may hold, and what the sockets on the way may hold besides.
constexpr std::size_t AnswerAndSocketBytes = 32 << 20;

const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// @return answers that drip and never end.
std::vector<EndlessAnswer> dripping() {
  return {{"", "HTTP/1.1 100 Continue\r\n\r\n", 10ms},
          {"HTTP/1.1 200 OK\r\nA: ", "x", 10ms},
          {ChunkedHead + "5;a=", "x", 10ms},
          {ChunkedHead, "1\r\nx\r\n", 10ms}};
}

struct Fixture {
  template <typename T, typename Start>
  core::Result<T, StoreError> await(Start Begin) {
    auto Done = std::make_shared<std::promise<core::Result<T, StoreError>>>();
    auto Outcome = Done->get_future();
    Begin([Done](auto Ended) { Done->set_value(std::move(Ended)); });
    BOOST_REQUIRE(Outcome.wait_for(Patience) == std::future_status::ready);
    return Outcome.get();
  }

  std::unique_ptr<KeyValue> storeAt(const std::string &Address) {
    EtcdSettings Etcd;
    Etcd.Address = Address;
    Etcd.CallDeadline = CallDeadline;
    Etcd.WatchIdle = CallDeadline;
    return createEtcdKeyValue(*ClientDuty, *HookDuty, Etcd);
  }

  std::unique_ptr<Origin> originAt(const std::string &Address,
                                   std::chrono::milliseconds Deadline) {
    return Origin::create(*ClientDuty, *HookDuty, Address, Deadline);
  }

  /// @return whether a watch of \p Answer is told within the patience that it
  /// is lost.
  bool watchIsLost(const EndlessAnswer &Answer) {
    EndlessServer Server(Answer);
    auto Store = storeAt(Server.address());
    std::promise<void> Lost;
    auto Watch = Store->watch(
        "k", {1}, [](const StoredValue &) {},
        [&](const StoreError &) { Lost.set_value(); });
    return Lost.get_future().wait_for(Patience) == std::future_status::ready;
  }

  std::unique_ptr<runtime::Duty> ClientDuty =
      runtime::Duty::start("client", 64, nullptr);
  std::unique_ptr<runtime::Duty> HookDuty =
      runtime::Duty::start("hooks", 64, nullptr);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(endless_answer, Fixture)

BOOST_AUTO_TEST_CASE(dripping_key_value_service_hits_the_call_deadline) {
  for (const EndlessAnswer &Answer : dripping()) {
    EndlessServer Server(Answer);
    auto Store = storeAt(Server.address());
    auto Value = await<StoredValue>(
        [&](auto Hook) { Store->read("k", std::move(Hook)); });
    BOOST_REQUIRE(!Value);
    BOOST_TEST((Value.error().What == StoreError::Kind::Unavailable));
    auto Swapped = await<SwapOutcome>([&](auto Hook) {
      Store->compareAndSwap("k", {1}, "new", std::move(Hook));
    });
    BOOST_REQUIRE(!Swapped);
    BOOST_TEST((Swapped.error().What == StoreError::Kind::Unknown));
  }
}

BOOST_AUTO_TEST_CASE(dripping_host_list_hits_its_deadline) {
  EndlessServer Server({ChunkedHead, "1\r\nx\r\n", 10ms});
  auto Hosts = HostList::create(*ClientDuty, *HookDuty, Server.address());
  auto List =
      await<std::vector<ListedHost>>([&](auto Hook) { Hosts->read(Hook); });
  BOOST_REQUIRE(!List);
  BOOST_TEST((List.error().What == StoreError::Kind::Unavailable));
}

BOOST_AUTO_TEST_CASE(watch_of_a_line_that_never_ends_is_lost) {
  BOOST_TEST(watchIsLost({ChunkedHead, "1\r\nx\r\n", 10ms}));
  BOOST_TEST(watchIsLost({ChunkedHead, "1\r\n\n\r\n", 10ms}));
  BOOST_TEST(watchIsLost(
      {ChunkedHead, "10000\r\n" + std::string(64 << 10, 'x') + "\r\n"}));
}

BOOST_AUTO_TEST_CASE(dripping_origin_hits_its_deadline) {
  for (const EndlessAnswer &Answer : dripping()) {
    EndlessServer Server(Answer);
    auto Source = originAt(Server.address(), CallDeadline);
    auto Chunk = await<std::string>([&](auto Hook) {
      Source->fetchChunk(core::Digest::of("x"), std::move(Hook));
    });
    BOOST_REQUIRE(!Chunk);
    BOOST_TEST((Chunk.error().What == StoreError::Kind::Unavailable));
  }
}

BOOST_AUTO_TEST_CASE(flooding_origin_is_cut_at_the_size_of_a_chunk) {
  EndlessServer Server(
      {ChunkedHead, "10000\r\n" + std::string(64 << 10, 'x') + "\r\n"});
  auto Source = originAt(Server.address(), 2 * Patience);
  auto Chunk = await<std::string>([&](auto Hook) {
    Source->fetchChunk(core::Digest::of("x"), std::move(Hook));
  });
  BOOST_REQUIRE(!Chunk);
  BOOST_TEST((Chunk.error().What == StoreError::Kind::Unavailable));
  BOOST_TEST(Server.sent() < AnswerAndSocketBytes);
}

BOOST_AUTO_TEST_SUITE_END()
