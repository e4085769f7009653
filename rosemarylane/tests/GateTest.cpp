#include "GateFixture.h"

using namespace rosemarylane;
using namespace std::chrono_literals;

namespace {

/// The gate of a plain service that never answers.
class Fixture : public GateFixture {
public:
  Fixture() : GateFixture("orders") {}

  std::future<wire::RunRefusal> send() { return sendFor(""); }

  void drain(std::function<void()> Idle) {
    onControl([&] { gate().drain(std::move(Idle)); });
  }

  std::size_t inProgress() {
    std::size_t Count = 0;
    onControl([&] { Count = gate().inProgress(); });
    return Count;
  }
};

void checkHandedBack(std::future<wire::RunRefusal> &Refusal) {
  BOOST_REQUIRE(Refusal.wait_for(GateFixture::Patience) ==
                std::future_status::ready);
  wire::RunRefusal Told = Refusal.get();
  BOOST_TEST(Told.reason() == wire::REFUSAL_OUT_OF_SERVICE);
  BOOST_TEST(Told.ran() == wire::RAN_NO);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(gate, Fixture)

BOOST_AUTO_TEST_CASE(waiting_requests_are_handed_back_when_out_of_service) {
  auto Running = send();
  auto Waiting = send();
  auto AlsoWaiting = send();
  BOOST_TEST(inProgress() == 3u);
  applyConfiguration({core::FailureDomainId("domain")});
  checkHandedBack(Waiting);
  checkHandedBack(AlsoWaiting);
  BOOST_TEST(inProgress() == 1u);
  BOOST_TEST((Running.wait_for(0s) == std::future_status::timeout));
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_handed_back_on_a_drain) {
  auto Running = send();
  auto Waiting = send();
  auto AlsoWaiting = send();
  bool Idle = false;
  drain([&] { Idle = true; });
  checkHandedBack(Waiting);
  checkHandedBack(AlsoWaiting);
  BOOST_TEST(inProgress() == 1u);
  BOOST_TEST(!Idle);
  BOOST_TEST((Running.wait_for(0s) == std::future_status::timeout));
}

BOOST_AUTO_TEST_SUITE_END()
