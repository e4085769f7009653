#include "common/ProcessMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>

namespace rosemarylane {

namespace {

constexpr std::chrono::seconds SampleInterval{1};

/// Sets a counter to a total that the peer node has counted. Counters can only
/// be incremented.
void setTotal(prometheus::Counter &Counter, std::uint64_t Total) {
  Counter.Increment(static_cast<double>(Total) - Counter.Value());
}

class ProcessMetricsImpl final : public ProcessMetrics {
public:
  ProcessMetricsImpl(ProcessContext &Context,
                     ConfigurationService &Configuration)
      : Context(Context),
        Revision(gauge("rosemarylane_configuration_revision",
                       "Revision of the configuration in force")),
        Waiting(gauge("rosemarylane_control_tasks_waiting",
                      "Tasks that wait for the control duty")),
        Connections(gauge("rosemarylane_peer_connections",
                          "Open connections to other processes")),
        Messages(counter("rosemarylane_peer_messages_total",
                         "Messages exchanged with other processes")),
        Bytes(counter("rosemarylane_peer_bytes_total",
                      "Bytes exchanged with other processes")),
        Dropped(counter("rosemarylane_peer_dropped_total",
                        "Messages dropped, by cause")) {
    Configuration.onChange(
        [this](const std::shared_ptr<const core::Configuration> &InForce) {
          Revision.Set(static_cast<double>(InForce->Revision));
        });
    SampleTimer = Context.Timers->every(SampleInterval, *Context.Control,
                                        [this] { sample(); });
  }

private:
  prometheus::Gauge &gauge(const char *Name, const char *Help) {
    return prometheus::BuildGauge()
        .Name(Name)
        .Help(Help)
        .Register(*Context.Metrics)
        .Add({});
  }

  prometheus::Family<prometheus::Counter> &counter(const char *Name,
                                                   const char *Help) {
    return prometheus::BuildCounter().Name(Name).Help(Help).Register(
        *Context.Metrics);
  }

  void sample() {
    Waiting.Set(static_cast<double>(Context.Control->waiting()));
    wire::PeerTraffic Counts = Context.Peers->traffic();
    Connections.Set(static_cast<double>(Counts.Connections));
    setTotal(Messages.Add({{"direction", "in"}}), Counts.MessagesIn);
    setTotal(Messages.Add({{"direction", "out"}}), Counts.MessagesOut);
    setTotal(Bytes.Add({{"direction", "in"}}), Counts.BytesIn);
    setTotal(Bytes.Add({{"direction", "out"}}), Counts.BytesOut);
    // `PeerTraffic::Dropped` counts only messages dropped because a queue or a
    // connection was full; malformed ones are counted separately.
    setTotal(Dropped.Add({{"cause", "malformed"}}), Counts.Malformed);
    setTotal(Dropped.Add({{"cause", "full"}}), Counts.Dropped);
  }

  ProcessContext &Context;
  prometheus::Gauge &Revision;
  prometheus::Gauge &Waiting;
  prometheus::Gauge &Connections;
  prometheus::Family<prometheus::Counter> &Messages;
  prometheus::Family<prometheus::Counter> &Bytes;
  prometheus::Family<prometheus::Counter> &Dropped;
  runtime::TimerService::Subscription SampleTimer;
};

} // namespace

std::unique_ptr<ProcessMetrics>
ProcessMetrics::create(ProcessContext &Context,
                       ConfigurationService &Configuration) {
  return std::make_unique<ProcessMetricsImpl>(Context, Configuration);
}

} // namespace rosemarylane
