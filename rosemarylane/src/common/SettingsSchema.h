#ifndef ROSEMARYLANE_COMMON_SETTINGS_SCHEMA_H
#define ROSEMARYLANE_COMMON_SETTINGS_SCHEMA_H

#include <string_view>

namespace rosemarylane {

/// JSON schema of the settings of entries and agents.
inline constexpr std::string_view SettingsSchema = R"json({
  "type": "object", "description": "an object: the settings",
  "additionalProperties": false,
  "required": ["host", "region", "failure_domain", "listen", "platform"],
  "properties": {
    "host": {"type": "string", "minLength": 1, "description": "the host's name"},
    "region": {"type": "string", "minLength": 1, "description": "the region's name"},
    "failure_domain": {"type": "string", "minLength": 1,
      "description": "the failure domain's name"},
    "listen": {"type": "object", "description": "the addresses to listen on",
      "additionalProperties": false, "required": ["http", "peers"],
      "properties": {
        "http": {"type": "string", "description": "\"IP:port\" for callers, operators and metrics"},
        "peers": {"type": "string", "description": "\"IP:port\" for peers, the other entries and agents"}
      }},
    "platform": {"type": "object", "description": "the addresses of the platform's services",
      "additionalProperties": false, "required": ["key_value", "host_list", "origin"],
      "properties": {
        "key_value": {"type": "string", "description": "\"IP:port\" of the key-value service"},
        "host_list": {"type": "string", "description": "\"IP:port\" of the host list"},
        "origin": {"type": "string", "description": "\"IP:port\" of the origin of weights"}
      }},
    "target": {"type": "object", "description": "the target of the agent",
      "additionalProperties": false, "required": ["address"],
      "properties": {
        "address": {"type": "string", "description": "\"IP:port\" of the engine or service"},
        "kind": {"type": "string", "enum": ["engine", "service"],
          "description": "\"engine\" or \"service\""},
        "serves": {"type": "string", "minLength": 1,
          "description": "the catalogue entry that the plain service serves"}
      }},
    "bandwidth": {"type": "object", "description": "bandwidth limits for weights",
      "additionalProperties": false,
      "properties": {
        "uplink_bytes_per_second": {"type": "integer", "minimum": 0,
          "description": "bytes per second: a whole number from 0 (no limit)"},
        "downlink_bytes_per_second": {"type": "integer", "minimum": 0,
          "description": "bytes per second: a whole number from 0 (no limit)"},
        "region_link_bytes_per_second": {"type": "integer", "minimum": 0,
          "description": "bytes per second: a whole number from 0 (no limit)"}
      }},
    "weights": {"type": "object", "description": "how weights are fetched",
      "additionalProperties": false,
      "properties": {
        "planner": {"type": "string", "enum": ["swarm", "origin", "tree"],
          "description": "\"swarm\", \"origin\" or \"tree\""}
      }},
    "ledger": {"type": "object", "description": "the at-most-once ledger",
      "additionalProperties": false,
      "properties": {
        "retention_minutes": {"type": "integer", "minimum": 15, "maximum": 1440,
          "description": "minutes: a whole number from 15 to 1440, the same at every entry"}
      }},
    "trace_file": {"type": "string", "description": "a path, or \"\" for no spans"},
    "log_level": {"type": "string", "enum": ["debug", "info", "warning", "error"],
      "description": "\"debug\", \"info\", \"warning\" or \"error\""}
  }
})json";

} // namespace rosemarylane

#endif // ROSEMARYLANE_COMMON_SETTINGS_SCHEMA_H
