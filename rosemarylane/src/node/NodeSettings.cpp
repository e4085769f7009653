#include "node/NodeSettings.h"

#include "core/DocumentSchema.h"
#include "node/NodeSettingsSchema.h"

#include <boost/json.hpp>

namespace rosemarylane {

namespace json = boost::json;

namespace {

const core::DocumentSchema &schema() {
  static const std::unique_ptr<core::DocumentSchema> Schema =
      core::DocumentSchema::create(NodeSettingsSchema);
  return *Schema;
}

std::string text(const json::object &From, std::string_view Name) {
  const json::value *Value = From.if_contains(Name);
  return Value ? std::string(Value->as_string()) : std::string();
}

std::uint16_t port(const json::object &From, std::string_view Name) {
  const json::value *Value = From.if_contains(Name);
  return Value ? Value->to_number<std::uint16_t>() : 0;
}

void readMilliseconds(const json::object &From, std::string_view Name,
                      std::chrono::milliseconds &Into) {
  if (const json::value *Value = From.if_contains(Name))
    Into = std::chrono::milliseconds(Value->to_number<std::int64_t>());
}

void readSeconds(const json::object &From, std::string_view Name,
                 std::chrono::milliseconds &Into) {
  if (const json::value *Value = From.if_contains(Name))
    Into = std::chrono::milliseconds(
        static_cast<std::int64_t>(Value->to_number<double>() * 1000));
}

void readNumber(const json::object &From, std::string_view Name, double &Into) {
  if (const json::value *Value = From.if_contains(Name))
    Into = Value->to_number<double>();
}

ServiceObjectives readObjectives(const json::object &Root) {
  ServiceObjectives Result;
  const json::value *Value = Root.if_contains("promises");
  if (!Value)
    return Result;
  const json::object &From = Value->as_object();
  readMilliseconds(From, "key_revocation_ms", Result.MaxKeyRevocationDelay);
  if (const json::value *Refuse = From.if_contains("refuse_unproved"))
    Result.FailClosed = Refuse->as_bool();
  readMilliseconds(From, "version_in_force_ms", Result.VersionActivationDelay);
  readMilliseconds(From, "contact_ms", Result.ReconnectGrace);
  readSeconds(From, "grace_period_s", Result.GracePeriod);
  readMilliseconds(From, "drain_notice_ms", Result.MaxDrainDelay);
  readNumber(From, "retry_ratio", Result.RetryRatio);
  readNumber(From, "retry_extra", Result.RetryExtra);
  readSeconds(From, "retry_window_s", Result.RetryWindow);
  return Result;
}

ServingLimits readLimits(const json::object &Root) {
  ServingLimits Result;
  const json::value *Value = Root.if_contains("limits");
  if (!Value)
    return Result;
  const json::object &From = Value->as_object();
  readNumber(From, "engine_queue", Result.EngineQueue);
  readNumber(From, "engine_waiting", Result.EngineWaiting);
  if (const json::value *Capacity = From.if_contains("line_capacity"))
    Result.QueueCapacity = Capacity->to_number<std::size_t>();
  readNumber(From, "line_part", Result.MaxQueueTimeShare);
  readNumber(From, "weights_link_part", Result.WeightsLinkShare);
  readNumber(From, "weights_idle_link_part", Result.WeightsIdleLinkShare);
  if (const json::value *Bytes = From.if_contains("caller_input_bytes"))
    Result.CallerInputBytes = Bytes->to_number<std::size_t>();
  return Result;
}

DomainLimits readDomains(const json::object &Root) {
  DomainLimits Result;
  const json::value *Value = Root.if_contains("domains");
  if (!Value)
    return Result;
  const json::object &From = Value->as_object();
  readMilliseconds(From, "leave_after_ms", Result.LeaveAfter);
  Result.LeaveRegionAfter = Result.LeaveAfter;
  readMilliseconds(From, "leave_region_after_ms", Result.LeaveRegionAfter);
  readMilliseconds(From, "ms_per_megabyte", Result.TimePerMegabyte);
  return Result;
}

void readLists(const json::object &Root, NodeSettings &Into) {
  for (const auto &Entry : Root.at("failure_domains").as_object())
    Into.RegionOf.emplace(
        core::FailureDomainId(std::string(Entry.key())),
        core::RegionId(std::string(Entry.value().as_string())));
  if (const json::value *Seeds = Root.if_contains("seeds"))
    for (const json::value &Seed : Seeds->as_array()) {
      // Seeds are contacted at `PeerPort`, so the given port is dropped.
      std::string Address(Seed.as_string());
      Into.Seeds.push_back(Address.substr(0, Address.find(':')));
    }
}

/// Removes those of `LaterSettings` that are null.
/// @return those that are absent then.
std::vector<std::string> defaultLaterSettings(json::value &Document) {
  std::vector<std::string> Result;
  json::object *Root = Document.if_object();
  if (!Root)
    return Result;
  for (std::string_view Name : LaterSettings) {
    const json::value *Given = Root->if_contains(Name);
    if (Given && Given->is_null())
      Root->erase(Name);
    if (!Root->contains(Name))
      Result.emplace_back(Name);
  }
  return Result;
}

} // namespace

core::Result<NodeSettings, core::DocumentErrors>
parseNodeSettings(NodeKind Kind, std::string_view Json) {
  auto Document = core::parseDocument(Json);
  if (!Document)
    return core::failure(Document.error());
  std::vector<std::string> Defaulted = defaultLaterSettings(*Document);
  core::DocumentErrors Errors = schema().check(*Document);
  if (!Errors.empty())
    return core::failure(std::move(Errors));
  const json::object &Root = Document->as_object();
  NodeSettings Result;
  Result.Defaulted = std::move(Defaulted);
  Result.Host = core::HostId(text(Root, "host"));
  Result.Ip = text(Root, "ip");
  Result.PeerPort = port(Root, "peer_port");
  Result.MetricsPort = port(Root, "metrics_port");
  Result.FailureDomain = core::FailureDomainId(text(Root, "failure_domain"));
  Result.Region = core::RegionId(text(Root, "region"));
  readLists(Root, Result);
  if (const json::value *Listen = Root.if_contains("listen")) {
    Result.CallerAddress = text(Listen->as_object(), "callers");
    Result.ReadinessAddress = text(Listen->as_object(), "readiness");
  }
  Result.TargetAddress = text(Root, "target");
  Result.StoreAddress = text(Root, "store");
  double LinkMbit = 0;
  readNumber(Root, "link_mbit_per_s", LinkMbit);
  if (const json::value *Most = Root.if_contains("descriptors"))
    Result.Descriptors = Most->to_number<std::size_t>();
  readMilliseconds(Root, "target_heartbeat_ms", Result.TargetHeartbeat);
  Result.LinkBytesPerSecond = static_cast<std::uint64_t>(LinkMbit * 125000);
  Result.Objectives = readObjectives(Root);
  Result.Limits = readLimits(Root);
  Result.Domains = readDomains(Root);
  if (Root.contains("log_level"))
    Result.LogLevel = text(Root, "log_level");
  if (Kind == NodeKind::Gateway && Result.CallerAddress.empty())
    Errors.push_back(
        {"$.listen", "absent", "listen addresses: a gateway requires them"});
  if (Kind == NodeKind::Sidecar && Result.TargetAddress.empty())
    Errors.push_back(
        {"$.target", "absent", "IP:port: a sidecar requires a target"});
  if (!Errors.empty())
    return core::failure(std::move(Errors));
  return Result;
}

} // namespace rosemarylane
