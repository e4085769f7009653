#include "gateway/StandbyAttempts.h"

#include "telemetry/Log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rosemarylane {

namespace asio = boost::asio;
using serving::SendResult;

void StandbyAttempts::start(std::unique_ptr<TargetAttempt> Attempt) {
  Entries.push_back({std::move(Attempt)});
  spawn(std::prev(Entries.end()));
}

void StandbyAttempts::spawn(Iterator Started) {
  asio::co_spawn(
      Loop,
      [this, Started]() -> asio::awaitable<void> { co_await run(Started); },
      asio::detached);
}

asio::awaitable<void> StandbyAttempts::run(Iterator Started) {
  TargetAttempt &Attempt = *Started->Attempt;
  std::optional<SendResult> Ended = SendResult::Unknown;
  try {
    Ended = co_await ToCall.Open(Attempt);
  } catch (const std::exception &E) {
    // Like an exchange that broke; the request goes on without it.
    Attempt.send().cancel();
    telemetry::log(telemetry::Level::Error, "exception in a standby attempt",
                   {{"error", std::string(E.what())}});
  }
  if (Ended || Attempt.isWithdrawn()) {
    end(Started, Ended.value_or(SendResult::Unknown));
    co_return;
  }
  Started->IsReady = true;
  Changed.cancel();
  ToCall.OnReady();
}

void StandbyAttempts::end(Iterator Ended, SendResult Result) {
  std::unique_ptr<TargetAttempt> Attempt = std::move(Ended->Attempt);
  Entries.erase(Ended);
  Changed.cancel();
  ToCall.OnEnded(*Attempt, Result);
}

bool StandbyAttempts::hasReady() const {
  return std::any_of(Entries.begin(), Entries.end(),
                     [](const Entry &E) { return E.IsReady; });
}

std::unique_ptr<TargetAttempt> StandbyAttempts::takeReady() {
  auto Found = std::find_if(Entries.begin(), Entries.end(),
                            [](const Entry &E) { return E.IsReady; });
  if (Found == Entries.end())
    return nullptr;
  std::unique_ptr<TargetAttempt> Attempt = std::move(Found->Attempt);
  Entries.erase(Found);
  return Attempt;
}

asio::awaitable<void> StandbyAttempts::waitForChange() {
  Changed.expires_at(asio::steady_timer::time_point::max());
  co_await Changed.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> StandbyAttempts::waitUntilReady() {
  while (!Entries.empty() && !hasReady())
    co_await waitForChange();
}

bool StandbyAttempts::all(
    const std::function<bool(const TargetAttempt &)> &Holds) const {
  return std::all_of(Entries.begin(), Entries.end(),
                     [&](const Entry &E) { return Holds(*E.Attempt); });
}

void StandbyAttempts::recheck(
    const std::function<bool(TargetAttempt &)> &IsReady) {
  for (Iterator Next = Entries.begin(); Next != Entries.end(); ++Next) {
    if (!Next->IsReady || IsReady(*Next->Attempt))
      continue;
    Next->IsReady = false;
    spawn(Next);
  }
}

void StandbyAttempts::withdrawIf(
    const std::function<bool(const TargetAttempt &)> &Concerned) {
  for (auto Next = Entries.begin(); Next != Entries.end();) {
    Iterator Current = Next++;
    if (!Concerned(*Current->Attempt))
      continue;
    Current->Attempt->withdraw();
    // The coroutine of a ready attempt has ended.
    if (Current->IsReady)
      end(Current, SendResult::Unknown);
  }
}

void StandbyAttempts::withdraw() {
  withdrawIf([](const TargetAttempt &) { return true; });
}

asio::awaitable<void> StandbyAttempts::finish() {
  withdraw();
  while (!Entries.empty())
    co_await waitForChange();
}

} // namespace rosemarylane
