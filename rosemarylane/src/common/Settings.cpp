#include "common/Settings.h"

#include "common/SettingsSchema.h"
#include "core/DocumentSchema.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace rosemarylane {

namespace json = boost::json;

namespace {

const core::DocumentSchema &schema() {
  static const std::unique_ptr<core::DocumentSchema> Schema =
      core::DocumentSchema::create(SettingsSchema);
  return *Schema;
}

/// @return whether \p Text is an IP address and a port other than 0.
bool isAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return false;
  std::string_view Ip = Text.substr(0, Colon);
  if (Ip.starts_with('[') && Ip.ends_with(']'))
    Ip = Ip.substr(1, Ip.size() - 2);
  boost::system::error_code Failed;
  boost::asio::ip::make_address(std::string(Ip), Failed);
  if (Failed)
    return false;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  return Parsed.ec == std::errc() && Parsed.ptr == End && Port != 0;
}

/// Reads a document that conforms to the schema, and checks the conditions that
/// a schema cannot express.
class SettingsReader {
public:
  SettingsReader(ProcessKind Kind, const json::object &Root)
      : Kind(Kind), Root(Root) {}

  core::Result<Settings, core::DocumentErrors> read() {
    Settings Result;
    Result.Host = core::HostId(text(Root, "host"));
    Result.Region = core::RegionId(text(Root, "region"));
    Result.FailureDomain = core::FailureDomainId(text(Root, "failure_domain"));
    Result.HttpAddress = address("listen", "http");
    Result.PeerAddress = address("listen", "peers");
    Result.Platform.KeyValue = address("platform", "key_value");
    Result.Platform.HostList = address("platform", "host_list");
    Result.Platform.Origin = address("platform", "origin");
    if (Result.HttpAddress == Result.PeerAddress)
      report("$.listen.peers", "an address different from $.listen.http");
    readTarget(Result.Target);
    readBandwidth(Result.Bandwidth);
    readPlanner(Result.Planner);
    readLedger(Result.LedgerRetention);
    Result.TraceFile = text(Root, "trace_file");
    if (Root.contains("log_level"))
      Result.LogLevel = text(Root, "log_level");
    if (!Errors.empty())
      return core::failure(std::move(Errors));
    return Result;
  }

private:
  static std::string text(const json::object &Object, std::string_view Key) {
    const json::value *Value = Object.if_contains(Key);
    return Value ? std::string(Value->as_string()) : std::string();
  }

  void report(std::string Path, std::string Expected) {
    json::error_code Missing;
    std::string Pointer = Path.substr(1);
    std::replace(Pointer.begin(), Pointer.end(), '.', '/');
    json::value Whole(Root);
    const json::value *Found = Whole.find_pointer(Pointer, Missing);
    Errors.push_back({std::move(Path),
                      Found ? core::truncatedJson(*Found) : "nothing",
                      std::move(Expected)});
  }

  std::string address(std::string_view Section, std::string_view Key) {
    std::string Text = text(Root.at(Section).as_object(), Key);
    if (!isAddress(Text))
      report("$." + std::string(Section) + "." + std::string(Key),
             "\"IP:port\", for example \"127.0.0.1:8001\"");
    return Text;
  }

  void readTarget(TargetSettings &Target) {
    if (Kind == ProcessKind::Entry) {
      if (Root.contains("target"))
        report("$.target", "no target: only an agent has one");
      return;
    }
    if (!Root.contains("target")) {
      report("$.target", "the target of the agent");
      return;
    }
    const json::object &Object = Root.at("target").as_object();
    Target.Address = address("target", "address");
    Target.Serves = core::EntryName(text(Object, "serves"));
    if (text(Object, "kind") == "service")
      Target.Kind = core::TargetKind::Service;
    bool Service = Target.Kind == core::TargetKind::Service;
    if (Service && Target.Serves.empty())
      report("$.target.serves",
             "the catalogue entry that the plain service serves");
    if (!Service && !Target.Serves.empty())
      report("$.target.serves",
             "no catalogue entry: the catalogue lists what an engine serves");
  }

  void readBandwidth(BandwidthSettings &Bandwidth) {
    if (!Root.contains("bandwidth"))
      return;
    const json::object &Object = Root.at("bandwidth").as_object();
    auto Rate = [&](std::string_view Key) -> std::uint64_t {
      const json::value *Value = Object.if_contains(Key);
      return Value ? Value->to_number<std::uint64_t>() : 0;
    };
    if (Kind == ProcessKind::Entry)
      report("$.bandwidth", "no bandwidth: only an agent transfers weights");
    Bandwidth.Uplink = Rate("uplink_bytes_per_second");
    Bandwidth.Downlink = Rate("downlink_bytes_per_second");
    Bandwidth.RegionLink = Rate("region_link_bytes_per_second");
  }

  void readPlanner(WeightPlanner &Planner) {
    if (!Root.contains("weights"))
      return;
    if (Kind == ProcessKind::Entry)
      report("$.weights", "no weights: only an agent fetches them");
    std::string Name = text(Root.at("weights").as_object(), "planner");
    if (Name == "origin")
      Planner = WeightPlanner::Origin;
    else if (Name == "tree")
      Planner = WeightPlanner::Tree;
  }

  void readLedger(std::chrono::minutes &Retention) {
    if (!Root.contains("ledger"))
      return;
    if (Kind == ProcessKind::Agent)
      report("$.ledger", "no ledger: only an entry keeps one");
    const json::object &Object = Root.at("ledger").as_object();
    if (const json::value *Value = Object.if_contains("retention_minutes"))
      Retention = std::chrono::minutes(Value->to_number<std::int64_t>());
  }

  ProcessKind Kind;
  const json::object &Root;
  core::DocumentErrors Errors;
};

} // namespace

core::Result<Settings, core::DocumentErrors>
parseSettings(ProcessKind Kind, std::string_view Json) {
  auto Document = core::parseDocument(Json);
  if (!Document)
    return core::failure(std::move(Document.error()));
  core::DocumentErrors Errors = schema().check(*Document);
  if (!Errors.empty())
    return core::failure(std::move(Errors));
  return SettingsReader(Kind, Document->as_object()).read();
}

} // namespace rosemarylane
