#include "telemetry/Tracer.h"

#include "runtime/Ring.h"

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <fstream>
#include <random>
#include <thread>

namespace rosemarylane::telemetry {

namespace json = boost::json;

namespace {

constexpr std::size_t BufferedSpans = 8192;
constexpr std::chrono::milliseconds ExportInterval{500};
constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;

std::string randomHex(std::size_t Digits) {
  static thread_local std::mt19937_64 Random{std::random_device{}()};
  static constexpr char Hex[] = "0123456789abcdef";
  std::string Text(Digits, '0');
  for (char &C : Text)
    C = Hex[Random() & 15];
  return Text;
}

bool isHex(std::string_view Text) {
  return Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string nanoseconds(std::chrono::system_clock::time_point Time) {
  auto SinceEpoch = std::chrono::duration_cast<std::chrono::nanoseconds>(
      Time.time_since_epoch());
  return std::to_string(SinceEpoch.count());
}

json::object attribute(std::string_view Key, std::string_view Value) {
  return {{"key", Key}, {"value", {{"stringValue", Value}}}};
}

json::object spanJson(const Span &S) {
  json::array Attributes;
  for (const auto &[Key, Value] : S.Attributes)
    Attributes.push_back(attribute(Key, Value));
  constexpr int KindServer = 2;
  constexpr int StatusOk = 1;
  constexpr int StatusError = 2;
  return {{"traceId", S.Context.TraceId},
          {"spanId", S.Context.SpanId},
          {"parentSpanId", S.ParentSpanId},
          {"name", S.Name},
          {"kind", KindServer},
          {"startTimeUnixNano", nanoseconds(S.Start)},
          {"endTimeUnixNano", nanoseconds(S.End)},
          {"attributes", std::move(Attributes)},
          {"status", {{"code", S.Failed ? StatusError : StatusOk}}}};
}

} // namespace

TraceContext TraceContext::fromHeader(std::string_view Traceparent) {
  // version "-" trace-id "-" parent-id "-" flags
  constexpr std::size_t TraceIdStart = 3;
  constexpr std::size_t SpanIdStart = TraceIdStart + TraceIdDigits + 1;
  constexpr std::size_t FlagsStart = SpanIdStart + SpanIdDigits + 1;
  if (Traceparent.size() >= FlagsStart + 2 && Traceparent[2] == '-' &&
      Traceparent[SpanIdStart - 1] == '-' &&
      Traceparent[FlagsStart - 1] == '-') {
    auto TraceId = Traceparent.substr(TraceIdStart, TraceIdDigits);
    auto SpanId = Traceparent.substr(SpanIdStart, SpanIdDigits);
    if (isHex(TraceId) && isHex(SpanId))
      return {std::string(TraceId), std::string(SpanId)};
  }
  return {randomHex(TraceIdDigits), ""};
}

std::string TraceContext::header() const {
  return "00-" + TraceId + "-" + SpanId + "-01";
}

struct Tracer::State {
  State(std::string Process, std::string Host, Exporter Export)
      : Process(std::move(Process)), Host(std::move(Host)),
        Export(std::move(Export)), Spans(BufferedSpans) {}

  void run() {
    std::unique_lock<std::mutex> Lock(Mutex);
    while (!Stopping) {
      Wake.wait_for(Lock, ExportInterval);
      exportWaiting();
    }
    exportWaiting();
  }

  void exportWaiting() {
    json::array Batch;
    while (auto Next = Spans.tryPop())
      Batch.push_back(spanJson(*Next));
    if (Batch.empty())
      return;
    json::array Resource{attribute("service.name", Process),
                         attribute("host.name", Host)};
    json::object Request{
        {"resourceSpans",
         json::array{
             {{"resource", {{"attributes", std::move(Resource)}}},
              {"scopeSpans", json::array{{{"scope", {{"name", "rosemarylane"}}},
                                          {"spans", std::move(Batch)}}}}}}}};
    Export(json::serialize(Request));
  }

  std::string Process;
  std::string Host;
  Exporter Export;
  runtime::Ring<Span> Spans;
  std::atomic<std::uint64_t> Dropped{0};
  std::mutex Mutex;
  std::condition_variable Wake;
  bool Stopping = false;
  std::thread Thread;
};

std::unique_ptr<Tracer> Tracer::start(std::string Process, std::string Host,
                                      Exporter Export) {
  auto S = std::make_unique<State>(std::move(Process), std::move(Host),
                                   std::move(Export));
  State *Raw = S.get();
  Raw->Thread = std::thread([Raw] { Raw->run(); });
  return std::unique_ptr<Tracer>(new Tracer(std::move(S)));
}

Tracer::Tracer(std::unique_ptr<State> S) : S(std::move(S)) {}

Tracer::~Tracer() {
  {
    std::lock_guard<std::mutex> Lock(S->Mutex);
    S->Stopping = true;
  }
  S->Wake.notify_one();
  S->Thread.join();
}

Span Tracer::open(std::string Name, const TraceContext &Parent) {
  Span S;
  S.Name = std::move(Name);
  S.Context = {Parent.TraceId, randomHex(SpanIdDigits)};
  S.ParentSpanId = Parent.SpanId;
  S.Start = std::chrono::system_clock::now();
  return S;
}

void Tracer::close(Span Done) {
  Done.End = std::chrono::system_clock::now();
  if (!S->Spans.tryPush(std::move(Done)))
    ++S->Dropped;
}

std::uint64_t Tracer::dropped() const { return S->Dropped; }

Tracer::Exporter exportToFile(const std::string &Path) {
  if (Path.empty())
    return [](const std::string &) {};
  auto File = std::make_shared<std::ofstream>(Path, std::ios::app);
  return [File](const std::string &Json) { *File << Json << std::endl; };
}

} // namespace rosemarylane::telemetry
