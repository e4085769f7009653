#include "RelayLink.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace rosemarylane::standins {

using boost::system::error_code;
using std::chrono::steady_clock;

namespace {

/// How often a frozen link looks whether it may go on.
constexpr std::chrono::milliseconds FrozenPoll{20};

} // namespace

RelayLink::RelayLink(boost::asio::ip::tcp::socket Caller,
                     std::shared_ptr<Line> Shared)
    : Caller(std::move(Caller)), Called(this->Caller.get_executor()),
      Shared(std::move(Shared)), Ways{Way(this->Caller.get_executor()),
                                      Way(this->Caller.get_executor())} {}

void RelayLink::start(const boost::asio::ip::tcp::endpoint &To) {
  Called.async_connect(To, [Self = shared_from_this()](error_code Error) {
    if (Error)
      return Self->close();
    error_code Ignored;
    boost::asio::ip::tcp::no_delay NoDelay(true);
    Self->Caller.set_option(NoDelay, Ignored);
    Self->Called.set_option(NoDelay, Ignored);
    Self->read(0);
    Self->read(1);
  });
}

void RelayLink::close() {
  if (std::exchange(Closed, true))
    return;
  error_code Ignored;
  Caller.close(Ignored);
  Called.close(Ignored);
  for (Way &Each : Ways)
    Each.Timer.cancel();
}

void RelayLink::read(std::size_t Index) {
  auto &From = Index == 0 ? Caller : Called;
  From.async_read_some(
      boost::asio::buffer(Ways[Index].Buffer),
      [Self = shared_from_this(), Index](error_code Error, std::size_t Bytes) {
        // A silent link does not pass the end on either.
        if (Error && !Self->Silent)
          return Self->close();
        if (!Error)
          Self->pass(Index, Bytes);
      });
}

steady_clock::time_point RelayLink::due(std::size_t Index, std::size_t Bytes) {
  auto Now = steady_clock::now();
  if (Shared->BytesPerSecond == 0)
    return Now + Shared->Delay;
  auto &Free = Shared->Free[Index];
  Free = std::max(Free, Now) + std::chrono::nanoseconds(Bytes * 1'000'000'000 /
                                                        Shared->BytesPerSecond);
  return Free + Shared->Delay;
}

void RelayLink::pass(std::size_t Index, std::size_t Bytes) {
  if (Index == 1)
    Shared->ReturnedBytes += Bytes;
  auto &Timer = Ways[Index].Timer;
  Timer.expires_at(due(Index, Bytes));
  Timer.async_wait([Self = shared_from_this(), Index, Bytes](error_code Error) {
    if (!Error)
      Self->write(Index, Bytes);
  });
}

void RelayLink::write(std::size_t Index, std::size_t Bytes) {
  if (Silent || Closed)
    return;
  if (Shared->Frozen) {
    Ways[Index].Timer.expires_after(FrozenPoll);
    Ways[Index].Timer.async_wait(
        [Self = shared_from_this(), Index, Bytes](error_code Error) {
          if (!Error)
            Self->write(Index, Bytes);
        });
    return;
  }
  auto &To = Index == 0 ? Called : Caller;
  boost::asio::async_write(
      To, boost::asio::buffer(Ways[Index].Buffer.data(), Bytes),
      [Self = shared_from_this(), Index](error_code Error, std::size_t) {
        if (Error)
          return Self->close();
        Self->read(Index);
      });
}

} // namespace rosemarylane::standins
