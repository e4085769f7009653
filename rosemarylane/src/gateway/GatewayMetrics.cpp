#include "gateway/GatewayMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace rosemarylane {

namespace {

const prometheus::Histogram::BucketBoundaries &latencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries Seconds{
      0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 6};
  return Seconds;
}

const prometheus::Histogram::BucketBoundaries &errorBuckets() {
  static const prometheus::Histogram::BucketBoundaries Seconds{
      -0.4, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6};
  return Seconds;
}

double seconds(std::chrono::milliseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

struct GatewayMetrics::State {
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Requests =
      prometheus::BuildCounter()
          .Name("rosemarylane_gateway_requests_total")
          .Help("Requests of callers, by outcome")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &Latency =
      prometheus::BuildHistogram()
          .Name("rosemarylane_gateway_request_seconds")
          .Help("Time from a request to the end of its answer, by outcome")
          .Register(Registry);
  prometheus::Histogram &FirstByte =
      prometheus::BuildHistogram()
          .Name("rosemarylane_gateway_first_byte_seconds")
          .Help("Time from a request to the first byte of its answer")
          .Register(Registry)
          .Add({}, latencyBuckets());
  prometheus::Histogram &FirstEventError =
      prometheus::BuildHistogram()
          .Name("rosemarylane_gateway_first_event_error_seconds")
          .Help(
              "Time by which first events of streams came later than expected "
              "when the target was chosen; negative if sooner")
          .Register(Registry)
          .Add({}, errorBuckets());
  prometheus::Histogram &QueueTime =
      prometheus::BuildHistogram()
          .Name("rosemarylane_gateway_wait_seconds")
          .Help("Time in the line for a free place")
          .Register(Registry)
          .Add({}, latencyBuckets());
  prometheus::Family<prometheus::Counter> &Displaced =
      prometheus::BuildCounter()
          .Name("rosemarylane_gateway_displaced_total")
          .Help("Waiting requests that gave up their place to a newcomer, by "
                "priority, workspace and reason")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &TurnsTooLate =
      prometheus::BuildCounter()
          .Name("rosemarylane_gateway_turns_too_late_total")
          .Help("Requests refused at once since their turn would have come too "
                "late, by service and priority")
          .Register(Registry);
  prometheus::Histogram &LateTurns =
      prometheus::BuildHistogram()
          .Name("rosemarylane_gateway_late_turn_seconds")
          .Help("Expected time until their turn, of requests refused for it")
          .Register(Registry)
          .Add({}, latencyBuckets());
  prometheus::Histogram &RetryAfter =
      prometheus::BuildHistogram()
          .Name("rosemarylane_gateway_retry_after_seconds")
          .Help("Time after which refused callers are told to return")
          .Register(Registry)
          .Add({}, latencyBuckets());
  prometheus::Family<prometheus::Counter> &Sends =
      prometheus::BuildCounter()
          .Name("rosemarylane_gateway_sends_total")
          .Help("Requests sent to targets, first sends and repeats")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Retries =
      prometheus::BuildCounter()
          .Name("rosemarylane_gateway_retries_total")
          .Help("Retries that were wanted, by service and by whether the retry "
                "budget had a place")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Gateways =
      prometheus::BuildGauge()
          .Name("rosemarylane_gateway_budget_sharers")
          .Help("Gateways among which the retry budget is divided, by whether "
                "this one has heard of them")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Choices =
      prometheus::BuildCounter()
          .Name("rosemarylane_gateway_target_choices_total")
          .Help("Selected targets, by service and by why they are in another "
                "failure domain")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Pressure =
      prometheus::BuildGauge()
          .Name("rosemarylane_gateway_domain_pressure")
          .Help("How much of its part of other failure domains' surplus this "
                "gateway may use, 0 to 1")
          .Register(Registry);
  prometheus::Counter &CallersLeft =
      prometheus::BuildCounter()
          .Name("rosemarylane_gateway_callers_left_total")
          .Help("Callers that left before their answer was whole")
          .Register(Registry)
          .Add({});
  prometheus::Family<prometheus::Counter> &NoAnswers =
      prometheus::BuildCounter()
          .Name("rosemarylane_gateway_no_answers_total")
          .Help("Answers of servers whose status is none, by server")
          .Register(Registry);
  prometheus::Gauge &RegistryAge =
      prometheus::BuildGauge()
          .Name("rosemarylane_gateway_registry_age_seconds")
          .Help("Time since the registry was last known to be current; -1 "
                "before")
          .Register(Registry)
          .Add({});
  prometheus::Gauge &StoreCalls =
      prometheus::BuildGauge()
          .Name("rosemarylane_gateway_store_calls")
          .Help("Calls on the platform's store since the start")
          .Register(Registry)
          .Add({});
};

GatewayMetrics::GatewayMetrics() : S(std::make_unique<State>()) {}
GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::requestEnded(const std::string &Outcome,
                                  std::chrono::milliseconds Duration) {
  S->Requests.Add({{"outcome", Outcome}}).Increment();
  S->Latency.Add({{"outcome", Outcome}}, latencyBuckets())
      .Observe(seconds(Duration));
}

void GatewayMetrics::firstByte(std::chrono::milliseconds Duration) {
  S->FirstByte.Observe(seconds(Duration));
}

void GatewayMetrics::firstEvent(std::chrono::milliseconds Expected,
                                std::chrono::milliseconds Actual) {
  S->FirstEventError.Observe(seconds(Actual - Expected));
}

void GatewayMetrics::requestSent(bool IsRetry) {
  S->Sends.Add({{"kind", IsRetry ? "repeat" : "first"}}).Increment();
}

void GatewayMetrics::retryDecided(const std::string &Service, bool Granted) {
  S->Retries
      .Add({{"service", Service}, {"budget", Granted ? "granted" : "refused"}})
      .Increment();
}

void GatewayMetrics::setBudgetSharers(std::size_t Heard, std::size_t Assumed) {
  S->Gateways.Add({{"source", "heard"}}).Set(static_cast<double>(Heard));
  S->Gateways.Add({{"source", "assumed"}}).Set(static_cast<double>(Assumed));
}

void GatewayMetrics::targetChosen(const std::string &Service,
                                  const std::string &Why) {
  S->Choices.Add({{"service", Service}, {"left", Why}}).Increment();
}

void GatewayMetrics::setDomainPressure(const std::string &Service,
                                       double Pressure) {
  S->Pressure.Add({{"service", Service}}).Set(Pressure);
}

void GatewayMetrics::queued(std::chrono::milliseconds Time) {
  S->QueueTime.Observe(seconds(Time));
}

void GatewayMetrics::displaced(std::uint32_t Priority,
                               const std::string &Workspace,
                               const std::string &Reason) {
  S->Displaced
      .Add({{"priority", std::to_string(Priority)},
            {"workspace", Workspace},
            {"reason", Reason}})
      .Increment();
}

void GatewayMetrics::turnTooLate(const std::string &Service,
                                 std::uint32_t Priority,
                                 std::chrono::milliseconds Turn) {
  S->TurnsTooLate
      .Add({{"service", Service}, {"priority", std::to_string(Priority)}})
      .Increment();
  S->LateTurns.Observe(seconds(Turn));
}

void GatewayMetrics::retryAfterGiven(std::chrono::milliseconds Time) {
  S->RetryAfter.Observe(seconds(Time));
}

void GatewayMetrics::callerDisconnected() { S->CallersLeft.Increment(); }

void GatewayMetrics::noAnswer(const std::string &Server) {
  S->NoAnswers.Add({{"server", Server}}).Increment();
}

void GatewayMetrics::setRegistryAge(
    std::optional<std::chrono::milliseconds> Age) {
  S->RegistryAge.Set(Age ? seconds(*Age) : -1);
}
void GatewayMetrics::setStoreCalls(std::uint64_t Total) {
  S->StoreCalls.Set(static_cast<double>(Total));
}

std::string GatewayMetrics::text() const {
  return prometheus::TextSerializer().Serialize(S->Registry.Collect());
}

} // namespace rosemarylane
