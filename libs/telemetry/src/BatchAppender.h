#ifndef ROSEMARYLANE_TELEMETRY_BATCH_APPENDER_H
#define ROSEMARYLANE_TELEMETRY_BATCH_APPENDER_H

#include <condition_variable>
#include <cstdint>
#include <log4cplus/appender.h>
#include <mutex>
#include <string>
#include <thread>

namespace rosemarylane::telemetry {

/// Collects lines and writes them to standard output in batches on a thread of
/// its own, so that logging never waits for whoever reads the output.
///
/// Lines that do not fit are dropped and counted; the count is written with
/// the next batch.
class BatchAppender : public log4cplus::Appender {
public:
  BatchAppender();
  ~BatchAppender() override;

  void close() override;

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override;

private:
  void run();
  static void writeAll(const std::string &Batch);

  std::mutex Mutex;
  std::condition_variable Stop;
  std::string Lines;
  std::uint64_t Dropped = 0;
  bool Stopping = false;
  std::thread Writer;
};

} // namespace rosemarylane::telemetry

#endif // ROSEMARYLANE_TELEMETRY_BATCH_APPENDER_H
