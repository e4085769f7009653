#ifndef ROSEMARYLANE_NODE_NODE_SETTINGS_SCHEMA_H
#define ROSEMARYLANE_NODE_NODE_SETTINGS_SCHEMA_H

#include <string_view>

namespace rosemarylane {

/// JSON schema (draft 7) of the settings of gateways and sidecars.
inline constexpr std::string_view NodeSettingsSchema = R"({
  "type": "object",
  "description": "an object",
  "additionalProperties": false,
  "required": ["host", "ip", "peer_port", "failure_domain", "region",
               "failure_domains", "store"],
  "definitions": {
    "name": {"type": "string", "minLength": 1,
             "description": "a name"},
    "port": {"type": "integer", "minimum": 1, "maximum": 65535,
             "description": "a port from 1 to 65535"},
    "address": {"type": "string",
                "pattern": "^[0-9]+(\\.[0-9]+){3}:[0-9]+$",
                "description": "IP:port"},
    "ip": {"type": "string", "pattern": "^[0-9]+(\\.[0-9]+){3}$",
           "description": "an IP address"},
    "milliseconds": {"type": "integer", "minimum": 0,
                     "description": "a whole number of milliseconds from 0"},
    "positive": {"type": "number", "minimum": 0,
                 "description": "a number from 0"},
    "part": {"type": "number", "minimum": 0, "maximum": 1,
             "description": "a share from 0 to 1"}
  },
  "properties": {
    "host": {"$ref": "#/definitions/name"},
    "ip": {"$ref": "#/definitions/ip"},
    "peer_port": {"$ref": "#/definitions/port"},
    "metrics_port": {"$ref": "#/definitions/port"},
    "failure_domain": {"$ref": "#/definitions/name"},
    "region": {"$ref": "#/definitions/name"},
    "failure_domains": {
      "type": "object", "minProperties": 1,
      "description": "the region of each failure domain",
      "additionalProperties": {"$ref": "#/definitions/name"}},
    "listen": {
      "type": "object", "additionalProperties": false,
      "description": "addresses for callers and for readiness checks",
      "required": ["callers", "readiness"],
      "properties": {
        "callers": {"$ref": "#/definitions/address"},
        "readiness": {"$ref": "#/definitions/address"}}},
    "target": {"$ref": "#/definitions/address"},
    "store": {"$ref": "#/definitions/address"},
    "seeds": {"type": "array", "description": "a list of IP:port",
              "items": {"$ref": "#/definitions/address"}},
    "link_mbit_per_s": {"$ref": "#/definitions/positive"},
    "target_heartbeat_ms": {"$ref": "#/definitions/milliseconds"},
    "descriptors": {"type": "integer", "minimum": 64,
                    "description": "a whole number from 64"},
    "promises": {
      "type": "object", "additionalProperties": false,
      "description": "the objectives of the deployment",
      "properties": {
        "key_revocation_ms": {"$ref": "#/definitions/milliseconds"},
        "refuse_unproved": {"type": "boolean",
                            "description": "true or false"},
        "version_in_force_ms": {"$ref": "#/definitions/milliseconds"},
        "contact_ms": {"$ref": "#/definitions/milliseconds"},
        "grace_period_s": {"$ref": "#/definitions/positive"},
        "drain_notice_ms": {"$ref": "#/definitions/milliseconds"},
        "retry_ratio": {"$ref": "#/definitions/positive"},
        "retry_extra": {"$ref": "#/definitions/positive"},
        "retry_window_s": {"$ref": "#/definitions/positive"}}},
    "limits": {
      "type": "object", "additionalProperties": false,
      "description": "limits on queues and weight transfers",
      "properties": {
        "engine_queue": {"$ref": "#/definitions/positive"},
        "engine_waiting": {"$ref": "#/definitions/positive"},
        "line_capacity": {"type": "integer", "minimum": 0,
                          "description": "a whole number of requests from 0"},
        "line_part": {"$ref": "#/definitions/part"},
        "weights_link_part": {"$ref": "#/definitions/part"},
        "weights_idle_link_part": {"$ref": "#/definitions/part"},
        "caller_input_bytes": {"type": "integer", "minimum": 65536,
                               "description": "a whole number from 65536"}}},
    "domains": {
      "type": "object", "additionalProperties": false,
      "description": "what leaving the failure domain must gain",
      "properties": {
        "leave_after_ms": {"$ref": "#/definitions/milliseconds"},
        "leave_region_after_ms": {"$ref": "#/definitions/milliseconds"},
        "ms_per_megabyte": {"$ref": "#/definitions/milliseconds"}}},
    "log_level": {"enum": ["debug", "info", "warning", "error"],
                  "description": "debug, info, warning or error"}
  }
})";

} // namespace rosemarylane

#endif // ROSEMARYLANE_NODE_NODE_SETTINGS_SCHEMA_H
