#include "runtime/Duty.h"
#include "runtime/TimerService.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace rosemarylane::runtime;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(duty)

BOOST_AUTO_TEST_CASE(full_ring_refuses) {
  auto D = Duty::start("test", 2, nullptr);
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  std::promise<void> Running;
  BOOST_TEST(D->post([&] {
    Running.set_value();
    Released.wait();
  }));
  Running.get_future().wait();
  BOOST_TEST(D->post([] {}));
  BOOST_TEST(D->post([] {}));
  BOOST_TEST(!D->post([] {}));
  Release.set_value();
}

BOOST_AUTO_TEST_CASE(escaped_exception_does_not_end_the_duty) {
  std::promise<std::string> Told;
  auto D = Duty::start("test", 8,
                       [&](const std::string &What) { Told.set_value(What); });
  BOOST_TEST(D->post([] { throw std::runtime_error("boom"); }));
  BOOST_TEST(Told.get_future().get() == "test: boom");
  std::promise<void> Ran;
  BOOST_TEST(D->post([&] { Ran.set_value(); }));
  Ran.get_future().wait();
}

BOOST_AUTO_TEST_CASE(cancelled_subscription_stops_firing) {
  auto D = Duty::start("test", 8, nullptr);
  auto Timers = TimerService::start();
  std::atomic<int> Fired{0};
  {
    auto Subscription = Timers->every(1ms, *D, [&] { ++Fired; });
    while (Fired < 3)
      std::this_thread::sleep_for(1ms);
  }
  std::this_thread::sleep_for(5ms);
  int AfterCancel = Fired;
  std::this_thread::sleep_for(20ms);
  BOOST_TEST(Fired == AfterCancel);
}

BOOST_AUTO_TEST_SUITE_END()
