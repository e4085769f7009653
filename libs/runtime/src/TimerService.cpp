#include "runtime/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cassert>

namespace rosemarylane::runtime {

using boost::asio::steady_timer;

struct TimerService::State {
  std::unique_ptr<Duty> Clock;
};

namespace {

/// One subscription's timer, kept alive by its own pending wait.
struct Alarm : std::enable_shared_from_this<Alarm> {
  Alarm(boost::asio::io_context &Context, std::chrono::nanoseconds Period,
        bool Repeats, Duty &On, Duty::Task Work, std::weak_ptr<bool> Alive)
      : Timer(Context), Period(Period), Repeats(Repeats), On(On),
        Work(std::move(Work)), Alive(std::move(Alive)) {}

  void arm() {
    Timer.async_wait([Self = shared_from_this()](auto Error) {
      if (!Error)
        Self->fire();
    });
  }

  void fire() {
    if (Alive.expired())
      return;
    auto Call = [Self = shared_from_this()] {
      if (!Self->Alive.expired())
        Self->Work();
    };
    if (!Repeats) {
      On.postAlways(Call);
      return;
    }
    (void)On.post(Call);
    // After a pause of the whole process the missed periods are skipped.
    Timer.expires_at(
        std::max(Timer.expiry() + Period, steady_timer::clock_type::now()));
    arm();
  }

  steady_timer Timer;
  std::chrono::nanoseconds Period;
  bool Repeats;
  Duty &On;
  Duty::Task Work;
  std::weak_ptr<bool> Alive;
};

constexpr std::size_t ClockRingCapacity = 1024;

} // namespace

TimerService::TimerService() : S(std::make_shared<State>()) {
  S->Clock = Duty::start("timers", ClockRingCapacity, nullptr);
}

std::unique_ptr<TimerService> TimerService::start() {
  return std::unique_ptr<TimerService>(new TimerService());
}

TimerService::~TimerService() { stop(); }

void TimerService::stop() { S->Clock->stop(); }

TimerService::Subscription TimerService::every(std::chrono::nanoseconds Period,
                                               Duty &On, Duty::Task Work) {
  assert(Period.count() > 0);
  auto Alive = std::make_shared<bool>(true);
  auto A = std::make_shared<Alarm>(S->Clock->context(), Period, true, On,
                                   std::move(Work), Alive);
  A->Timer.expires_after(Period);
  S->Clock->postAlways([A] { A->arm(); });
  return Subscription(std::move(Alive));
}

TimerService::Subscription TimerService::after(std::chrono::nanoseconds Delay,
                                               Duty &On, Duty::Task Work) {
  auto Alive = std::make_shared<bool>(true);
  auto A = std::make_shared<Alarm>(S->Clock->context(), Delay, false, On,
                                   std::move(Work), Alive);
  A->Timer.expires_after(Delay);
  S->Clock->postAlways([A] { A->arm(); });
  return Subscription(std::move(Alive));
}

} // namespace rosemarylane::runtime
