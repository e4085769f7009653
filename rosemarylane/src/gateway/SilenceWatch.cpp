#include "gateway/SilenceWatch.h"

namespace rosemarylane {

namespace {

constexpr std::chrono::milliseconds RecheckPeriod{50};

} // namespace

void SilenceWatch::expectWithin(std::chrono::milliseconds Limit) {
  Timer = std::make_shared<boost::asio::steady_timer>(Loop, Limit);
  std::weak_ptr<boost::asio::steady_timer> Armed = Timer;
  Timer->async_wait([this, Armed](auto Failed) {
    // `this` may be gone as well if the timer is.
    if (Failed || Armed.expired())
      return;
    stop();
    if (!TryStartStandby())
      expectWithin(RecheckPeriod);
  });
}

} // namespace rosemarylane
