#include "bench/Load.h"

#include <boost/json/parse.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace rosemarylane::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr unsigned FirstSuccess = 200;
constexpr unsigned PastSuccess = 300;
constexpr std::size_t KeptErrorBytes = 512;
constexpr std::chrono::milliseconds ScheduleStep{20};

/// Records of a load in progress; answers arrive on the client's duty.
class Progress {
public:
  std::size_t add(CallRecord Record) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Records.push_back(std::move(Record));
    ++Open;
    return Records.size() - 1;
  }

  void firstByte(std::size_t Index, std::chrono::nanoseconds Latency) {
    std::lock_guard<std::mutex> Lock(Mutex);
    Records[Index].FirstByte = Latency;
  }

  void finish(std::size_t Index, Outcome How, unsigned Status,
              std::chrono::nanoseconds Latency, std::string Detail) {
    std::lock_guard<std::mutex> Lock(Mutex);
    CallRecord &Record = Records[Index];
    Record.How = How;
    Record.Status = Status;
    Record.Whole = Latency;
    Record.Detail = std::move(Detail);
    if (--Open == 0)
      AllDone.notify_all();
  }

  /// Waits for the open requests; those that do not end in time stay failed.
  std::vector<CallRecord> take(std::chrono::nanoseconds Patience) {
    std::unique_lock<std::mutex> Lock(Mutex);
    AllDone.wait_for(Lock, Patience, [this] { return Open == 0; });
    return Records;
  }

private:
  std::mutex Mutex;
  std::condition_variable AllDone;
  std::vector<CallRecord> Records;
  std::size_t Open = 0;
};

/// What has come of one answer; touched only on the client's duty.
struct Answer {
  unsigned Status = 0;
  bool Streamed = false;
  bool Started = false;
  std::string Tail;
};

/// Whether a problem document proves that the request was not run.
bool saysNotRun(const std::string &Body) {
  boost::system::error_code Error;
  boost::json::value Document = boost::json::parse(Body, Error);
  if (Error || !Document.is_object())
    return false;
  const boost::json::value *Ran = Document.as_object().if_contains("ran");
  return Ran && Ran->is_string() && Ran->as_string() == "no";
}

bool endsStream(const std::string &Tail) {
  return Tail.find("data: [DONE]") != std::string::npos;
}

Outcome judge(const Answer &Got, bool Whole) {
  bool Success = Got.Status >= FirstSuccess && Got.Status < PastSuccess;
  if (!Whole)
    return Outcome::Failed;
  if (Success)
    return !Got.Streamed || endsStream(Got.Tail) ? Outcome::Served
                                                 : Outcome::Failed;
  return saysNotRun(Got.Tail) ? Outcome::Refused : Outcome::Failed;
}

void keepTail(std::string &Tail, const std::string &Part) {
  Tail += Part;
  if (Tail.size() > KeptErrorBytes)
    Tail.erase(0, Tail.size() - KeptErrorBytes);
}

void sendCall(http::Client &Client, const std::shared_ptr<Progress> &Shared,
              bench::Call Next, Clock::time_point Due, Clock::time_point Start,
              std::chrono::nanoseconds Patience) {
  std::size_t Index =
      Shared->add({Next.Kind, Outcome::Failed, 0, Due - Start, {}, {}, {}});
  auto Got = std::make_shared<Answer>();
  http::Client::Hooks Hooks;
  Hooks.OnHead = [Got](const http::ResponseHead &Head) {
    Got->Status = Head.Status;
    auto Type = Head.Fields.find("Content-Type");
    Got->Streamed = Type && Type->starts_with("text/event-stream");
  };
  Hooks.OnPart = [Got, Shared, Index, Due](const std::string &Part) {
    if (!Got->Started)
      Shared->firstByte(Index, Clock::now() - Due);
    Got->Started = true;
    keepTail(Got->Tail, Part);
  };
  Hooks.OnDone = [Got, Shared, Index, Due](std::optional<http::Error> Error) {
    Outcome How = judge(*Got, !Error);
    std::string Detail = Error                    ? Error->Detail
                         : How == Outcome::Served ? std::string()
                                                  : Got->Tail;
    Shared->finish(Index, How, Got->Status, Clock::now() - Due,
                   std::move(Detail));
  };
  auto Limit = std::chrono::duration_cast<std::chrono::milliseconds>(Patience);
  Client.stream(Next.Address, std::move(Next.Whole),
                {std::chrono::milliseconds(500), Limit, Limit},
                std::move(Hooks));
}

/// Waits until \p Due, calling the schedule's hook on the way.
void waitUntil(Clock::time_point Due, Clock::time_point Start,
               const LoadShape &Shape) {
  while (Clock::now() + ScheduleStep < Due) {
    std::this_thread::sleep_for(ScheduleStep);
    if (Shape.OnTime)
      Shape.OnTime(Clock::now() - Start);
  }
  std::this_thread::sleep_until(Due);
}

} // namespace

std::vector<CallRecord> runLoad(http::Client &Client, const LoadShape &Shape) {
  std::mt19937_64 Random(Shape.Seed);
  std::exponential_distribution<double> Gap(Shape.RatePerSecond);
  auto Shared = std::make_shared<Progress>();
  auto Start = Clock::now();
  auto Due = Start;
  for (std::uint64_t Number = 0;; ++Number) {
    Due += std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(Gap(Random)));
    if (Due - Start >= Shape.Length)
      break;
    bench::Call Next = Shape.Next(Number, Random);
    waitUntil(Due, Start, Shape);
    if (Shape.OnTime)
      Shape.OnTime(Clock::now() - Start);
    sendCall(Client, Shared, std::move(Next), Due, Start, Shape.Patience);
  }
  waitUntil(Start + Shape.Length, Start, Shape);
  return Shared->take(Shape.Patience);
}

LoadSummary summarize(const std::vector<CallRecord> &Records,
                      std::chrono::nanoseconds From,
                      std::chrono::nanoseconds To,
                      const std::function<bool(const CallRecord &)> &Wanted) {
  LoadSummary Summary;
  for (const CallRecord &Record : Records) {
    if (Record.Due < From || Record.Due >= To || (Wanted && !Wanted(Record)))
      continue;
    if (Record.How == Outcome::Refused)
      ++Summary.Refused;
    if (Record.How == Outcome::Failed)
      ++Summary.Failed;
    if (Record.How != Outcome::Served)
      continue;
    ++Summary.Served;
    Summary.FirstByte.add(Record.FirstByte);
    Summary.Whole.add(Record.Whole);
  }
  return Summary;
}

} // namespace rosemarylane::bench
