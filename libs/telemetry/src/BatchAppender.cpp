#include "BatchAppender.h"

#include <cerrno>
#include <chrono>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

namespace rosemarylane::telemetry {

namespace {

constexpr std::chrono::milliseconds BatchPeriod{250};
/// Bytes that one batch may hold; what comes beyond is dropped.
constexpr std::size_t MaxBatchBytes = 128 << 10;

} // namespace

BatchAppender::BatchAppender() : Writer([this] { run(); }) {}

BatchAppender::~BatchAppender() {
  close();
  destructorImpl();
}

void BatchAppender::close() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopping)
      return;
    Stopping = true;
  }
  Stop.notify_all();
  Writer.join();
  closed = true;
}

void BatchAppender::append(const log4cplus::spi::InternalLoggingEvent &Event) {
  const auto &Line = Event.getMessage();
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Lines.size() + Line.size() + 1 > MaxBatchBytes) {
    ++Dropped;
    return;
  }
  Lines += Line;
  Lines += '\n';
}

void BatchAppender::run() {
  std::unique_lock<std::mutex> Lock(Mutex);
  for (;;) {
    bool Last = Stop.wait_for(Lock, BatchPeriod, [&] { return Stopping; });
    std::string Batch;
    Batch.swap(Lines);
    if (Dropped > 0) {
      Batch += R"({"level":"warning","message":"log lines dropped","count":)" +
               std::to_string(Dropped) + "}\n";
      Dropped = 0;
    }
    Lock.unlock();
    writeAll(Batch);
    if (Last)
      return;
    Lock.lock();
  }
}

void BatchAppender::writeAll(const std::string &Batch) {
  std::size_t Done = 0;
  while (Done < Batch.size()) {
    ssize_t Written =
        ::write(STDOUT_FILENO, Batch.data() + Done, Batch.size() - Done);
    if (Written < 0 && errno == EINTR)
      continue;
    // Nobody reads the output any more; there is nowhere to tell it.
    if (Written <= 0)
      return;
    Done += static_cast<std::size_t>(Written);
  }
}

} // namespace rosemarylane::telemetry
