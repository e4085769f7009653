#ifndef ROSEMARYLANE_CORE_CONFIGURATION_SCHEMA_H
#define ROSEMARYLANE_CORE_CONFIGURATION_SCHEMA_H

#include <string_view>

namespace rosemarylane::core {

/// The JSON schema of a configuration document. The descriptions are reported
/// to operators as the expected values.
inline constexpr std::string_view ConfigurationSchema = R"json({
  "type": "object",
  "description": "a configuration object",
  "additionalProperties": false,
  "properties": {
    "revision": {"type": "integer", "minimum": 0,
      "description": "a revision: a whole number from 0"},
    "workspaces": {"type": "array", "description": "a list of workspaces",
      "items": {
        "type": "object", "description": "a workspace",
        "additionalProperties": false,
        "required": ["name", "token_sha256"],
        "properties": {
          "name": {"type": "string",
            "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$",
            "description": "a name of letters, digits, '.', '_' and '-', at most 128 long"},
          "role": {"type": "string", "enum": ["caller", "operator"],
            "description": "\"caller\" or \"operator\""},
          "token_sha256": {"type": "string",
            "pattern": "^(sha256:)?[0-9a-fA-F]{64}$",
            "description": "the SHA-256 digest of the token: 64 hexadecimal digits"},
          "concurrency": {"type": "integer", "minimum": 0, "maximum": 100000,
            "description": "requests in progress at one entry process: a whole number from 0 (no limit) to 100000"}
        }}},
    "entries": {"type": "array", "description": "a list of catalogue entries",
      "items": {
        "type": "object", "description": "a catalogue entry",
        "additionalProperties": false,
        "required": ["name", "owner"],
        "properties": {
          "name": {"type": "string",
            "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$",
            "description": "a name of letters, digits, '.', '_' and '-', at most 128 long"},
          "owner": {"type": "string", "minLength": 1,
            "description": "the name of a workspace"},
          "kind": {"type": "string", "enum": ["engine", "service"],
            "description": "\"engine\" or \"service\""},
          "class": {"type": "string",
            "enum": ["interactive", "standard", "batch"],
            "description": "\"interactive\", \"standard\" or \"batch\""},
          "limits": {"type": "object", "description": "the entry's limits",
            "additionalProperties": false,
            "properties": {
              "concurrency": {"type": "integer", "minimum": 1, "maximum": 100000,
                "description": "requests in progress at one target: a whole number from 1 to 100000"},
              "rate_per_second": {"type": "number", "minimum": 0, "maximum": 1000000,
                "description": "requests per second: a number from 0 (no limit) to 1000000"},
              "queue": {"type": "integer", "minimum": 0, "maximum": 100000,
                "description": "requests waiting at one entry process: a whole number from 0 to 100000"}
            }},
          "replicas": {"type": "integer", "minimum": 0, "maximum": 100000,
            "description": "a number of replicas: a whole number from 0 to 100000"},
          "serving_floor": {"type": "integer", "minimum": 0, "maximum": 100000,
            "description": "replicas that keep serving during a rollout: a whole number from 0 to 100000"},
          "failure_domains": {"type": "array",
            "description": "a list of failure domain names",
            "items": {"type": "string", "minLength": 1,
              "description": "the name of a failure domain"}},
          "idempotent": {"type": "boolean", "description": "true or false"},
          "base_model": {"type": "string", "minLength": 1,
            "description": "the name of the entry that the adapter is loaded on"},
          "version": {"type": "string",
            "pattern": "^(sha256:)?[0-9a-fA-F]{64}$",
            "description": "the digest of the version's manifest: \"sha256:\" and 64 hexadecimal digits"}
        }}},
    "out_of_service": {"type": "object",
      "description": "the failure domains and hosts out of service",
      "additionalProperties": false,
      "properties": {
        "failure_domains": {"type": "array",
          "description": "a list of failure domain names",
          "items": {"type": "string", "minLength": 1,
            "description": "the name of a failure domain"}},
        "hosts": {"type": "array", "description": "a list of host names",
          "items": {"type": "string", "minLength": 1,
            "description": "the name of a host"}}
      }}
  }
})json";

} // namespace rosemarylane::core

#endif // ROSEMARYLANE_CORE_CONFIGURATION_SCHEMA_H
