#include "Faults.h"

#include <boost/json/value.hpp>

namespace rosemarylane::standins {

namespace json = boost::json;

void Countdown::set(const json::value &Setting) {
  if (!Setting.is_bool())
    Left = Setting.to_number<std::uint64_t>();
  else if (Setting.as_bool())
    Left.reset();
  else
    Left = 0;
}

bool Countdown::strike() {
  if (!Left)
    return true;
  if (*Left == 0)
    return false;
  --*Left;
  return true;
}

void Faults::set(const json::object &Settings) {
  auto With = [&](const char *Name, auto Take) {
    if (const json::value *Setting = Settings.if_contains(Name))
      Take(*Setting);
  };
  auto Flag = [](bool &To) {
    return [&To](const json::value &V) { To = V.as_bool(); };
  };
  auto Text = [](std::string &To) {
    return [&To](const json::value &V) { To = std::string(V.as_string()); };
  };
  auto Count = [](Countdown &To) {
    return [&To](const json::value &V) { To.set(V); };
  };
  With("only", Text(Only));
  With("latency_ms", [&](const json::value &V) {
    Latency = std::chrono::milliseconds(V.to_number<std::int64_t>());
  });
  With("outage", Flag(Outage));
  With("drop_before", Count(DropBefore));
  With("lose_answers", Count(LoseAnswers));
  With("cut_answers", Count(CutAnswers));
  With("silent", Flag(Silent));
  With("corrupt_chunks", Count(CorruptChunks));
  With("crash_on", Text(CrashOn));
  With("ignore_fence", Flag(IgnoreFence));
  With("fail_load", Flag(FailLoad));
}

} // namespace rosemarylane::standins
