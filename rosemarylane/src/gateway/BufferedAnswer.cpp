#include "gateway/BufferedAnswer.h"

namespace rosemarylane {

namespace asio = boost::asio;
using serving::SendResult;
using serving::TargetFeedback;
using std::chrono::milliseconds;

namespace {

/// The size is checked before a part is appended, so the last part may exceed
/// the limit; if yet another part follows, the response is handled like one
/// whose connection broke.
constexpr std::size_t MaxBufferedBytes = 1 << 20;

} // namespace

asio::awaitable<std::optional<TargetFeedback>>
BufferedAnswer::awaitWhole(TargetSend &Attempt, Clock::time_point Deadline,
                           milliseconds TimeLimit) {
  for (;;) {
    TargetSend::Result Received =
        co_await Attempt.readAhead(Deadline, TimeLimit);
    if (Received == TargetSend::Result::End)
      co_return std::nullopt;
    bool TooLarge = Attempt.dataAhead().size() > MaxBufferedBytes;
    if (Received != TargetSend::Result::Data || TooLarge)
      co_return Clock::now() >= Deadline ? TargetFeedback::Abandoned
                                         : TargetFeedback::Broken;
  }
}

asio::awaitable<BufferedAnswer::Result>
BufferedAnswer::read(TargetSend &Attempt, Clock::time_point Deadline,
                     milliseconds TimeLimit) {
  Body.clear();
  Status = Attempt.status();
  Head = platform::callerFields(Attempt.head());
  for (;;) {
    TargetSend::Result Result = co_await Attempt.next(
        Deadline, Deadline - Clock::now() > milliseconds(0) ? TimeLimit
                                                            : milliseconds(0));
    if (Result == TargetSend::Result::End)
      break;
    bool TooLarge = Body.size() > MaxBufferedBytes;
    if (Result != TargetSend::Result::Data || TooLarge)
      co_return BufferedAnswer::Result{SendResult::Unknown,
                                       Clock::now() >= Deadline
                                           ? TargetFeedback::Abandoned
                                           : TargetFeedback::Broken};
    Body += Attempt.bodyData();
    Held.setInProgress(Body.capacity());
  }
  Attempt.release();
  if (Status >= 500)
    co_return Result{SendResult::Failed, TargetFeedback::Failed};
  co_return Result{SendResult::Answered, TargetFeedback::Served};
}

} // namespace rosemarylane
