#include "store/EtcdKeyValue.h"
#include "http/Server.h"
#include "store/HostList.h"
#include "store/Origin.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>

using namespace rosemarylane;
using namespace rosemarylane::store;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 5s;
constexpr auto CallDeadline = 100ms;

/// A service whose answers the test writes, and a client of it.
struct Fixture {
  void serve(http::Server::Handler Answer) {
    http::ServerSettings Settings;
    Settings.Address = "127.0.0.1:0";
    auto Listening =
        http::Server::listen(*ServerDuty, Settings, std::move(Answer));
    BOOST_REQUIRE(Listening);
    Service = std::move(*Listening);
    Address = "127.0.0.1:" + std::to_string(Service->port());
    EtcdSettings Etcd;
    Etcd.Address = Address;
    Etcd.CallDeadline = CallDeadline;
    Etcd.WatchIdle = CallDeadline;
    Store = createEtcdKeyValue(*ClientDuty, *HookDuty, Etcd);
  }

  template <typename T, typename Start>
  core::Result<T, StoreError> await(Start Begin) {
    std::promise<core::Result<T, StoreError>> Done;
    Begin([&](auto Outcome) { Done.set_value(std::move(Outcome)); });
    auto Outcome = Done.get_future();
    BOOST_REQUIRE(Outcome.wait_for(Patience) == std::future_status::ready);
    return Outcome.get();
  }

  auto read(const std::string &Key) {
    return await<StoredValue>([&](auto Hook) { Store->read(Key, Hook); });
  }
  auto swap(StorePosition Expected) {
    return await<SwapOutcome>([&](auto Hook) {
      Store->compareAndSwap("k", {Expected}, "new", Hook);
    });
  }

  std::unique_ptr<runtime::Duty> ServerDuty =
      runtime::Duty::start("server", 64, nullptr);
  std::unique_ptr<runtime::Duty> ClientDuty =
      runtime::Duty::start("client", 64, nullptr);
  std::unique_ptr<runtime::Duty> HookDuty =
      runtime::Duty::start("hooks", 64, nullptr);
  std::shared_ptr<http::Exchange> Held;
  std::unique_ptr<http::Server> Service;
  std::unique_ptr<KeyValue> Store;
  std::string Address;
};

http::Server::Handler answering(unsigned Status, std::string Body) {
  return [=](auto X) { X->respond(http::jsonResponse(Status, Body)); };
}

constexpr char ChangeOfAToRevision7[] =
    R"({"result":{"events":[{"kv":{"key":"aw==","value":"YQ==","mod_revision":"7"}}]}})"
    "\n";

} // namespace

BOOST_FIXTURE_TEST_SUITE(etcd_key_value, Fixture)

BOOST_AUTO_TEST_CASE(read_parses_the_gateway_form) {
  std::string Asked;
  serve([&](auto X) {
    Asked = X->request().Target + X->request().Body;
    X->respond(http::jsonResponse(
        200, R"({"header":{"revision":"9"},"kvs":[{"key":"aw==",)"
             R"("value":"AAH/","mod_revision":"7"}],"count":"1"})"));
  });
  auto Value = read("k");
  BOOST_REQUIRE(Value);
  BOOST_TEST(Asked == R"(/v3/kv/range{"key":"aw=="})");
  BOOST_TEST((Value->Value == std::string("\x00\x01\xff", 3)));
  BOOST_TEST(Value->Revision == 7);
}

BOOST_AUTO_TEST_CASE(missing_key_has_revision_zero) {
  serve(answering(200, R"({"header":{"revision":"9"}})"));
  auto Value = read("k");
  BOOST_REQUIRE(Value);
  BOOST_TEST(Value->Revision == 0);
}

BOOST_AUTO_TEST_CASE(erase_tells_whether_the_key_existed) {
  std::string Asked;
  serve([&](auto X) {
    Asked = X->request().Target + X->request().Body;
    X->respond(http::jsonResponse(200, R"({"deleted":"1"})"));
  });
  auto Erased = await<bool>([&](auto Hook) { Store->erase("k", Hook); });
  BOOST_REQUIRE(Erased);
  BOOST_TEST(*Erased);
  BOOST_TEST(Asked == R"(/v3/kv/deleterange{"key":"aw=="})");
}

BOOST_AUTO_TEST_CASE(swap_tells_what_stands) {
  serve([](auto X) {
    bool Matches =
        X->request().Body.find(R"("mod_revision":"4")") != std::string::npos;
    X->respond(http::jsonResponse(
        200, Matches ? R"({"header":{"revision":"5"},"succeeded":true,)"
                       R"("responses":[{"response_put":{}}]})"
                     : R"({"header":{"revision":"5"},"responses":[)"
                       R"({"response_range":{"kvs":[{"value":"b2xk",)"
                       R"("mod_revision":"4"}]}}]})"));
  });
  auto Won = swap({4});
  BOOST_REQUIRE(Won);
  BOOST_TEST(Won->Swapped);
  BOOST_TEST(Won->Current.Value == "new");
  BOOST_TEST(Won->Current.Revision == 5);
  auto Lost = swap({3});
  BOOST_REQUIRE(Lost);
  BOOST_TEST(!Lost->Swapped);
  BOOST_TEST(Lost->Current.Value == "old");
  BOOST_TEST(Lost->Current.Revision == 4);
}

BOOST_AUTO_TEST_CASE(write_whose_answer_is_lost_is_unknown) {
  serve([](auto X) { X->abort(); });
  BOOST_TEST((swap({1}).error().What == StoreError::Kind::Unknown));
  BOOST_TEST((read("k").error().What == StoreError::Kind::Unavailable));
}

BOOST_AUTO_TEST_CASE(silent_service_is_unknown_within_the_deadline) {
  serve([&](auto X) { Held = X; });
  BOOST_TEST((swap({1}).error().What == StoreError::Kind::Unknown));
  BOOST_TEST((read("k").error().What == StoreError::Kind::Unavailable));
}

BOOST_AUTO_TEST_CASE(refused_connection_is_unavailable) {
  serve(answering(200, "{}"));
  Service.reset();
  BOOST_TEST((swap({1}).error().What == StoreError::Kind::Unavailable));
}

BOOST_AUTO_TEST_CASE(statuses_and_broken_answers) {
  struct Case {
    unsigned Status;
    std::string Body;
    StoreError::Kind OfSwap;
  };
  for (const Case &C : std::vector<Case>{
           {503, "{}", StoreError::Kind::Unknown},
           {429, "{}", StoreError::Kind::Unavailable},
           {400, "{}", StoreError::Kind::Rejected},
           {200, "not json", StoreError::Kind::Unknown},
           {200, R"({"succeeded":true})", StoreError::Kind::Unknown},
           {200, "[]", StoreError::Kind::Unknown}}) {
    serve(answering(C.Status, C.Body));
    auto Outcome = swap({1});
    BOOST_REQUIRE(!Outcome);
    BOOST_TEST((Outcome.error().What == C.OfSwap));
    Store.reset();
  }
}

BOOST_AUTO_TEST_CASE(watch_takes_lines_however_they_are_cut) {
  serve([](auto X) {
    X->startStream({200, {}});
    std::string Lines = "{\"result\":{\"created\":true}}\n";
    Lines += ChangeOfAToRevision7;
    Lines += ChangeOfAToRevision7;
    for (char Byte : Lines)
      X->write({Byte});
    X->finish();
  });
  std::atomic<int> Changes{0};
  std::promise<StoreError> Lost;
  auto Watch = Store->watch(
      "k", {1},
      [&](const StoredValue &V) {
        Changes += V.Value == "a" && V.Revision == 7;
      },
      [&](StoreError E) { Lost.set_value(std::move(E)); });
  BOOST_TEST(
      (Lost.get_future().wait_for(Patience) == std::future_status::ready));
  BOOST_TEST(Changes == 2);
}

BOOST_AUTO_TEST_CASE(silent_watch_is_lost) {
  serve([&](auto X) {
    Held = X;
    X->startStream({200, {}});
    X->write("{\"result\":{\"created\":true}}\n");
  });
  std::promise<void> Lost;
  auto Watch = Store->watch(
      "k", {1}, [](const StoredValue &) {},
      [&](const StoreError &) { Lost.set_value(); });
  BOOST_TEST(
      (Lost.get_future().wait_for(Patience) == std::future_status::ready));
  Service.reset();
  Held.reset();
}

BOOST_AUTO_TEST_CASE(watch_dropped_from_its_hook_stays_quiet) {
  std::promise<void> Gone;
  serve([&](auto X) {
    Held = X;
    X->onGone([&] { Gone.set_value(); });
    X->startStream({200, {}});
    X->write(std::string(ChangeOfAToRevision7) + ChangeOfAToRevision7);
  });
  std::unique_ptr<KeyValue::Watch> Watch;
  std::promise<void> Assigned;
  auto IsAssigned = Assigned.get_future();
  std::atomic<int> Calls{0};
  Watch = Store->watch(
      "k", {1},
      [&](const StoredValue &) {
        IsAssigned.wait();
        ++Calls;
        Watch.reset();
      },
      [&](const StoreError &) { ++Calls; });
  Assigned.set_value();
  BOOST_TEST(
      (Gone.get_future().wait_for(Patience) == std::future_status::ready));
  BOOST_TEST(Calls == 1);
  Service.reset();
  Held.reset();
}

BOOST_AUTO_TEST_CASE(watch_dropped_while_changes_still_arrive_stays_quiet) {
  // So many changes in one part that the first is delivered, and the watch
  // dropped, while the part is still being read.
  std::promise<void> Gone;
  serve([&](auto X) {
    Held = X;
    X->onGone([&] { Gone.set_value(); });
    X->startStream({200, {}});
    std::string Part;
    for (int I = 0; I < 5000; ++I)
      Part += ChangeOfAToRevision7;
    X->write(std::move(Part));
  });
  std::unique_ptr<KeyValue::Watch> Watch;
  std::promise<void> Assigned;
  auto IsAssigned = Assigned.get_future();
  std::atomic<int> Calls{0};
  Watch = Store->watch(
      "k", {1},
      [&](const StoredValue &) {
        if (++Calls > 1)
          return;
        IsAssigned.wait();
        Watch.reset();
      },
      [&](const StoreError &) { ++Calls; });
  Assigned.set_value();
  BOOST_TEST(
      (Gone.get_future().wait_for(Patience) == std::future_status::ready));
  Service.reset();
  Held.reset();
  BOOST_TEST(Calls == 1);
}

/// The answer of a service with the cluster id \p History to a read.
std::string valueAt(std::int64_t Revision, const std::string &History) {
  return R"({"header":{"cluster_id":")" + History +
         R"(","revision":"9"},"kvs":[{"value":"YQ==","mod_revision":")" +
         std::to_string(Revision) + R"("}]})";
}

BOOST_AUTO_TEST_CASE(values_carry_the_history_that_they_were_read_in) {
  // Cluster ids are unsigned numbers of 64 bits.
  serve([](auto X) {
    bool IsSwap = X->request().Target == "/v3/kv/txn";
    std::string Won =
        R"({"header":{"cluster_id":"18446744073709551615","revision":"8"},)"
        R"("succeeded":true})";
    X->respond(http::jsonResponse(
        200, IsSwap ? Won : valueAt(7, "18446744073709551615")));
  });
  constexpr std::uint64_t History = ~std::uint64_t(0);
  auto Value = read("k");
  BOOST_REQUIRE(Value);
  BOOST_TEST((Value->position() == StorePosition{7, History}));
  auto Won = swap(Value->position());
  BOOST_REQUIRE(Won);
  BOOST_TEST((Won->Current.position() == StorePosition{8, History}));
}

BOOST_AUTO_TEST_CASE(condition_of_the_history_before_a_restore_is_not_sent) {
  std::atomic<int> Swaps{0};
  std::atomic<int> Reads{0};
  serve([&](auto X) {
    if (X->request().Target == "/v3/kv/txn") {
      ++Swaps;
      return X->respond(http::jsonResponse(
          200, R"({"header":{"cluster_id":"2"},"succeeded":true})"));
    }
    X->respond(http::jsonResponse(200, valueAt(7, ++Reads == 1 ? "1" : "2")));
  });
  auto Before = read("k");
  BOOST_REQUIRE(Before);
  // Revision 7 is given out again, for another value.
  auto After = read("other");
  BOOST_REQUIRE(After);
  auto Refused = swap(Before->position());
  BOOST_REQUIRE(!Refused);
  BOOST_TEST((Refused.error().What == StoreError::Kind::OtherHistory));
  BOOST_TEST(Swaps == 0);
  BOOST_TEST(swap(After->position()).has_value());
  BOOST_TEST(Swaps == 1);
}

BOOST_AUTO_TEST_CASE(swap_depends_on_its_guard) {
  std::string Asked;
  serve([&](auto X) {
    Asked = X->request().Body;
    X->respond(http::jsonResponse(
        200, R"({"header":{"cluster_id":"1","revision":"5"},"responses":[)"
             R"({"response_range":{"kvs":[{"value":"b2xk",)"
             R"("mod_revision":"4"}]}},)"
             R"({"response_range":{"kvs":[{"value":"b3RoZXI="}]}}]})"));
  });
  auto Lost = await<SwapOutcome>([&](auto Hook) {
    Store->compareAndSwap("k", {{4, 1}, "g", "guard"}, "new", Hook);
  });
  BOOST_REQUIRE(Lost);
  BOOST_TEST(!Lost->Swapped);
  BOOST_TEST(!Lost->GuardHeld);
  BOOST_TEST(Lost->Current.Revision == 4);
  BOOST_TEST((
      Asked.find(
          R"({"key":"Zw==","target":"VALUE","result":"EQUAL","value":"Z3VhcmQ="})") !=
      std::string::npos));
}

BOOST_AUTO_TEST_CASE(watch_of_the_history_before_a_restore_is_lost) {
  // A restored service keeps a watch from a later revision waiting, with
  // progress notices, until its own revisions get there.
  serve([&](auto X) {
    Held = X;
    X->startStream({200, {}});
    for (int I = 0; I < 1000; ++I)
      X->write(R"({"result":{"header":{"cluster_id":"2"}}})"
               "\n");
  });
  std::promise<StoreError> Lost;
  auto Watch = Store->watch(
      "k", {8, 1}, [](const StoredValue &) {},
      [&](StoreError E) { Lost.set_value(std::move(E)); });
  auto Why = Lost.get_future();
  BOOST_REQUIRE((Why.wait_for(Patience) == std::future_status::ready));
  BOOST_TEST((Why.get().What == StoreError::Kind::OtherHistory));
  Service.reset();
  Held.reset();
}

BOOST_AUTO_TEST_CASE(host_list_and_origin) {
  serve([](auto X) {
    if (X->request().Target == "/v1/hosts")
      return X->respond(http::jsonResponse(
          200, R"({"hosts":[{"host":"h1","role":"agent","region":"r",)"
               R"("failure_domain":"d","address":"127.0.0.1:1",)"
               R"("state":"leaving"}]})"));
    X->respond(
        {{X->request().Target.find("/v1/chunks/") == 0 ? 200u : 404u, {}},
         "bytes"});
  });
  auto Hosts = HostList::create(*ClientDuty, *HookDuty, Address);
  auto List =
      await<std::vector<ListedHost>>([&](auto Hook) { Hosts->read(Hook); });
  BOOST_REQUIRE(List);
  BOOST_TEST(List->size() == 1u);
  BOOST_TEST(List->front().Leaving);
  BOOST_TEST((List->front().Role == HostRole::Agent));
  auto Source = Origin::create(*ClientDuty, *HookDuty, Address);
  auto Chunk = await<std::string>(
      [&](auto Hook) { Source->fetchChunk(core::Digest::of("x"), Hook); });
  BOOST_REQUIRE(Chunk);
  BOOST_TEST(*Chunk == "bytes");
  auto Missing = await<std::string>(
      [&](auto Hook) { Source->fetchManifest(core::Digest::of("x"), Hook); });
  BOOST_TEST((Missing.error().What == StoreError::Kind::Rejected));
}

BOOST_AUTO_TEST_SUITE_END()
