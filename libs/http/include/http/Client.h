#ifndef ROSEMARYLANE_HTTP_CLIENT_H
#define ROSEMARYLANE_HTTP_CLIENT_H

#include "core/Result.h"
#include "http/Error.h"
#include "http/Message.h"
#include "runtime/Duty.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylane::http {

/// Time limits of one exchange.
struct Deadlines {
  std::chrono::milliseconds Connect{500};
  /// From the request's last byte to the end of the answer's head.
  std::chrono::milliseconds FirstByte{30000};
  /// Between two parts of the answer.
  std::chrono::milliseconds Idle{30000};
  /// Opens a connection for this exchange alone, so that a kept one that has
  /// gone silent or stale never makes the outcome unknown.
  bool FreshConnection = false;
  /// The whole exchange; none for an open end.
  std::optional<std::chrono::milliseconds> Total;
};

/// An HTTP/1.1 client on one duty, with a pool of kept connections for each
/// address.
///
/// A request whose kept connection turns out to be closed before any byte of
/// the answer came is sent again on a new connection only if `Retryable` was
/// set. A deadline that passes drops the connection and all idle ones to that
/// address, so a silent one is never used again. An answer with neither a
/// length nor chunks cannot be known to be whole and is `Interrupted`.
///
/// Hooks run on the duty. The duty outlives the client; the client is destroyed
/// off its duty or after it stopped. Hooks of exchanges still in progress then
/// are dropped without a call.
class Client {
public:
  /// Where the parts of an answer go. `OnDone` is called exactly once, last.
  struct Hooks {
    std::function<void(const ResponseHead &)> OnHead;
    std::function<void(std::string Part)> OnPart;
    /// An error says whether the request may have run; no error means that the
    /// answer came whole.
    std::function<void(std::optional<Error>)> OnDone;
    /// The longest body that is taken; a longer one is `Malformed`.
    std::uint64_t MaxBodyBytes = 1 << 30;
  };

  /// One exchange in progress; thread-safe.
  class Call {
  public:
    virtual ~Call() = default;
    /// Drops the connection. `OnDone` is told `Cancelled` unless the exchange
    /// has already ended.
    virtual void cancel() = 0;
  };

  static std::unique_ptr<Client> create(runtime::Duty &On);
  ~Client();

  /// Sends \p Whole to \p Address (`IP:port`) and passes the answer on part by
  /// part. From any thread.
  std::shared_ptr<Call> stream(const std::string &Address, Request Whole,
                               Deadlines Limits, Hooks To,
                               bool Retryable = false);

  using WholeHook = std::function<void(core::Result<Response, Error>)>;

  static constexpr std::uint64_t MaxWholeBodyBytes = 64 << 20;

  /// Sends \p Whole and collects the answer. From any thread.
  /// @param MaxBodyBytes the longest body that is taken; a longer one is
  /// `Malformed`.
  std::shared_ptr<Call> fetch(const std::string &Address, Request Whole,
                              Deadlines Limits, WholeHook OnDone,
                              bool Retryable = false,
                              std::uint64_t MaxBodyBytes = MaxWholeBodyBytes);

  /// Closes the idle connections to \p Address, which may have fallen silent.
  /// From any thread.
  void dropIdle(const std::string &Address);

  struct State;

private:
  explicit Client(std::shared_ptr<State> S);
  std::shared_ptr<State> S;
};

} // namespace rosemarylane::http

#endif // ROSEMARYLANE_HTTP_CLIENT_H
