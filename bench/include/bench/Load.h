#ifndef ROSEMARYLANE_BENCH_LOAD_H
#define ROSEMARYLANE_BENCH_LOAD_H

#include "bench/Samples.h"
#include "http/Client.h"
#include "http/Message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace rosemarylane::bench {

/// How one request of the load ended, for its caller.
enum class Outcome {
  /// 2xx, and the answer came whole.
  Served,
  /// An answer that says that the request was not run.
  Refused,
  /// Anything else: an error, a cut answer, or no answer.
  Failed,
};

/// One request to send.
struct Call {
  std::string Address;
  http::Request Whole;
  /// Numbers the kind of request, for results by kind.
  unsigned Kind = 0;
};

/// One request that was sent.
struct CallRecord {
  unsigned Kind = 0;
  Outcome How = Outcome::Failed;
  unsigned Status = 0;
  /// When it was due, from the start of the load.
  std::chrono::nanoseconds Due{0};
  /// From when it was due, so that a slow sender does not hide waiting.
  std::chrono::nanoseconds FirstByte{0};
  std::chrono::nanoseconds Whole{0};
  std::string Detail;
};

/// An open-loop load: requests arrive at random with a mean rate, whatever the
/// answers do.
struct LoadShape {
  double RatePerSecond = 0;
  std::chrono::nanoseconds Length{0};
  /// How long to wait for answers after the last arrival.
  std::chrono::nanoseconds Patience{std::chrono::seconds(10)};
  std::uint64_t Seed = 1;
  /// Makes the request with that number.
  std::function<Call(std::uint64_t Number, std::mt19937_64 &Random)> Next;
  /// Called on the loading thread between arrivals with the time since the
  /// start, for faults on a schedule; must not block.
  std::function<void(std::chrono::nanoseconds SinceStart)> OnTime;
};

/// Sends the load and waits for the answers.
/// @return a record for each request, in the order they were due.
std::vector<CallRecord> runLoad(http::Client &Client, const LoadShape &Shape);

/// Counts and latencies of some records.
struct LoadSummary {
  std::size_t Served = 0;
  std::size_t Refused = 0;
  std::size_t Failed = 0;
  /// Of the served.
  Samples FirstByte;
  Samples Whole;
};

/// Sums up the records that are due in a span of time and that \p Wanted picks.
LoadSummary
summarize(const std::vector<CallRecord> &Records, std::chrono::nanoseconds From,
          std::chrono::nanoseconds To,
          const std::function<bool(const CallRecord &)> &Wanted = nullptr);

} // namespace rosemarylane::bench

#endif // ROSEMARYLANE_BENCH_LOAD_H
