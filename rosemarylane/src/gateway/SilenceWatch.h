#ifndef ROSEMARYLANE_GATEWAY_SILENCE_WATCH_H
#define ROSEMARYLANE_GATEWAY_SILENCE_WATCH_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace rosemarylane {

/// Watches one attempt for a target that has gone silent.
///
/// Once the limit has passed, the hook is called again and again until it has
/// found another target to ask beside the silent one.
///
/// Call `expectWithin` whenever the target has made progress, and `stop` when
/// the attempt has ended, or while the target is not waited for. Used on the
/// thread of the event loop; no hook is called after `stop` or the destructor.
class SilenceWatch {
public:
  /// Starts an attempt at another target, if one can take the request now.
  /// @return whether it did. The watch has then ended, unless the hook has
  /// called `expectWithin`.
  using StartStandby = std::function<bool()>;

  SilenceWatch(boost::asio::io_context &Loop, StartStandby TryStartStandby)
      : Loop(Loop), TryStartStandby(std::move(TryStartStandby)) {}

  /// Expects progress within \p Limit from now on; replaces what was expected
  /// before.
  void expectWithin(std::chrono::milliseconds Limit);

  void stop() { Timer.reset(); }

private:
  boost::asio::io_context &Loop;
  StartStandby TryStartStandby;
  /// A new one for each wait, so that the handler of an earlier wait, which may
  /// be queued already, finds that it is gone.
  std::shared_ptr<boost::asio::steady_timer> Timer;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_SILENCE_WATCH_H
