#include "telemetry/Log.h"

#include "BatchAppender.h"
#include "telemetry/Utf8.h"

#include <atomic>
#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

namespace rosemarylane::telemetry {

namespace json = boost::json;

namespace {

std::atomic<std::uint64_t> Revision{0};
LogIdentity Identity;

/// Passes the message through: it is a JSON object already.
class JsonLineLayout : public log4cplus::Layout {
public:
  void
  formatAndAppend(log4cplus::tostream &Out,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    Out << Event.getMessage() << '\n';
  }
};

log4cplus::LogLevel levelOf(Level At) {
  switch (At) {
  case Level::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case Level::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case Level::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case Level::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

const char *nameOf(Level At) {
  switch (At) {
  case Level::Debug:
    return "debug";
  case Level::Info:
    return "info";
  case Level::Warning:
    return "warning";
  case Level::Error:
    return "error";
  }
  return "info";
}

json::value toJson(const std::string &Text) {
  return json::string(asUtf8(Text));
}
template <typename T> json::value toJson(const T &Value) { return Value; }

double secondsNow() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration<double>(Now).count();
}

} // namespace

void startLog(LogIdentity Process, Level Lowest, LogSink Sink) {
  static log4cplus::Initializer Initializer;
  Identity = std::move(Process);
  log4cplus::SharedAppenderPtr Appender;
  if (Sink == LogSink::StandardOutput)
    Appender = new BatchAppender();
  else
    Appender = new log4cplus::ConsoleAppender(/*logToStdErr=*/true,
                                              /*immediateFlush=*/true);
  Appender->setLayout(std::make_unique<JsonLineLayout>());
  auto Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(levelOf(Lowest));
}

void stopLog() { log4cplus::Logger::getRoot().removeAllAppenders(); }

Level parseLevel(std::string_view Name) {
  if (Name == "debug")
    return Level::Debug;
  if (Name == "warning")
    return Level::Warning;
  if (Name == "error")
    return Level::Error;
  return Level::Info;
}

void setLogRevision(std::uint64_t InForce) { Revision = InForce; }

void log(Level At, std::string_view Message,
         std::initializer_list<Field> Fields) {
  auto Root = log4cplus::Logger::getRoot();
  if (!Root.isEnabledFor(levelOf(At)))
    return;
  json::object Line;
  Line["time"] = secondsNow();
  Line["level"] = nameOf(At);
  Line["process"] = Identity.Process;
  Line["host"] = Identity.Host;
  Line["failure_domain"] = Identity.FailureDomain;
  Line["revision"] = Revision.load();
  Line["message"] = Message;
  for (const Field &F : Fields)
    std::visit([&](const auto &Value) { Line[F.Name] = toJson(Value); },
               F.Value);
  Root.forcedLog(levelOf(At), json::serialize(Line));
}

} // namespace rosemarylane::telemetry
