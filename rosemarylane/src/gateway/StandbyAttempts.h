#ifndef ROSEMARYLANE_GATEWAY_STANDBY_ATTEMPTS_H
#define ROSEMARYLANE_GATEWAY_STANDBY_ATTEMPTS_H

#include "gateway/TargetAttempt.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace rosemarylane {

/// Attempts of one request at other targets, beside an attempt whose target is
/// silent (request hedging).
///
/// A sound target may be silent for a second or two and go on, and the target
/// that is asked in its place may refuse, fail or fall silent too. So the first
/// attempt goes on until another one is ready: its response can take the place
/// of that of the silent target, because the first event that goes on with the
/// stream was read, or a whole answer below 500.
///
/// The attempt that is then not the first any more stays as a reserve, and is
/// ready again once it has something that the caller has not got: the one that
/// is forwarded may still fail.
///
/// `start` adds an attempt. Once one is ready, `OnReady` is called and
/// `takeReady` hands it over. Used on the thread of the event loop.
/// Await `finish` before the end: the attempts use what the hooks refer to.
class StandbyAttempts {
public:
  struct Hooks {
    /// Sends the request, if that was not done, and waits until the attempt is
    /// ready. Called again after `recheck`.
    /// @return how the attempt ended; empty if it is ready.
    std::function<boost::asio::awaitable<std::optional<serving::SendResult>>(
        TargetAttempt &)>
        Open;
    /// An attempt is ready.
    std::function<void()> OnReady;
    /// An attempt has ended without taking over.
    std::function<void(TargetAttempt &, serving::SendResult)> OnEnded;
  };

  StandbyAttempts(boost::asio::io_context &Loop, Hooks Called)
      : Loop(Loop), ToCall(std::move(Called)), Changed(Loop) {}
  StandbyAttempts(const StandbyAttempts &) = delete;
  StandbyAttempts &operator=(const StandbyAttempts &) = delete;

  void start(std::unique_ptr<TargetAttempt> Attempt);

  /// @return the attempts that have not ended, those that are ready included.
  std::size_t size() const { return Entries.size(); }

  /// @return a ready attempt, which is no longer one of these; null if there is
  /// none.
  std::unique_ptr<TargetAttempt> takeReady();
  bool hasReady() const;

  /// @return whether \p Holds for all attempts.
  bool all(const std::function<bool(const TargetAttempt &)> &Holds) const;

  /// Opens again the ready attempts for which \p IsReady does not hold any
  /// more.
  void recheck(const std::function<bool(TargetAttempt &)> &IsReady);

  /// Waits until an attempt is ready or all have ended.
  boost::asio::awaitable<void> waitUntilReady();

  /// Withdraws the attempts for which \p Concerned holds. `OnEnded` is called
  /// for each, now or later.
  void withdrawIf(const std::function<bool(const TargetAttempt &)> &Concerned);

  /// Withdraws all attempts. `OnEnded` is called for each, now or later.
  void withdraw();

  /// Withdraws all attempts and waits until they have ended.
  boost::asio::awaitable<void> finish();

private:
  struct Entry {
    std::unique_ptr<TargetAttempt> Attempt;
    bool IsReady = false;
  };
  using Iterator = std::list<Entry>::iterator;

  void spawn(Iterator Started);
  boost::asio::awaitable<void> run(Iterator Started);
  void end(Iterator Ended, serving::SendResult Result);
  boost::asio::awaitable<void> waitForChange();

  boost::asio::io_context &Loop;
  Hooks ToCall;
  std::list<Entry> Entries;
  /// Cancelled whenever an attempt becomes ready or ends.
  boost::asio::steady_timer Changed;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_GATEWAY_STANDBY_ATTEMPTS_H
