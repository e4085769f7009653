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
/// A sound target may be silent for a second or two and go on, so silence ends
/// an attempt only if another target can take the request over. Once the limit
/// has passed, the hook is asked again and again until it has found one.
///
/// Call `expectWithin` whenever the target has made progress, and `stop` when
/// the attempt has ended. Used on the thread of the event loop; no hook is
/// called after `stop` or the destructor.
class SilenceWatch {
public:
  /// Hands the request over to another target, if one can take it now.
  /// @return whether it did; the watch then ends.
  using HandOver = std::function<bool()>;

  SilenceWatch(boost::asio::io_context &Loop, HandOver TryHandOver)
      : Loop(Loop), TryHandOver(std::move(TryHandOver)) {}

  /// Expects progress within \p Limit from now on; replaces what was expected
  /// before.
  void expectWithin(std::chrono::milliseconds Limit);

  void stop() { Timer.reset(); }

private:
  boost::asio::io_context &Loop;
  HandOver TryHandOver;
  /// A new one for each wait, so that the handler of an earlier wait, which may
  /// be queued already, finds that it is gone.
  std::shared_ptr<boost::asio::steady_timer> Timer;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_SILENCE_WATCH_H
