#ifndef ROSEMARYLANE_TESTS_PROCESS_WEIGHT_FLEET_H
#define ROSEMARYLANE_TESTS_PROCESS_WEIGHT_FLEET_H

#include "Fleet.h"

#include <optional>
#include <set>
#include <string>

namespace rosemarylane::process_tests {

/// A fleet of engines whose model is rolled out anew.
class WeightFleet {
public:
  explicit WeightFleet(std::vector<std::string> EngineArguments = {});

  /// Makes a version of 16 chunks at the origin.
  /// @return its digest, as hexadecimal digits.
  std::string makeVersion(int Seed);

  /// An adapter of the model, as an entry of its own.
  struct Adapter {
    std::string Version;
    unsigned Replicas = 1;
  };
  static constexpr char Model[] = "draft";
  static constexpr char AdapterName[] = "draft-adapter";

  /// Changes the catalogue to \p Version.
  void rollOut(const std::string &Version, unsigned ServingFloor,
               const std::optional<Adapter> &WithAdapter = std::nullopt);

  /// @return the version that a host's engine has loaded under a name.
  std::string loaded(const Fleet::Host &Host, const std::string &Name = Model);
  /// @return the chunks, manifests included, in a host's engine.
  std::set<std::string> chunks(const Fleet::Host &Host);
  std::size_t loadedBy(const std::string &Version,
                       const std::string &Name = Model);
  void awaitLoadedByAll(const std::string &Version);

  /// @return what the operators' status says of load errors, in one string.
  std::string loadErrors();

  /// Orders a load past the agent, as a process that lost its place would.
  /// @return the status.
  unsigned orderLoad(const Fleet::Host &Host, const std::string &Version,
                     std::uint64_t FencingNumber);

  /// The sum of a metric over all agents.
  double metric(const std::string &Name);

  /// @return what an engine with \p Version answers.
  static std::string expectedText(const std::string &Version,
                                  const std::string &Prompt);

  Fleet &fleet() { return Running; }
  std::vector<Fleet::Host *> agents() { return Running.engineAgents(); }

  static constexpr std::size_t Chunks = 16;

private:
  CallResult admin(const std::string &Method, const std::string &Path,
                   const std::string &Body, const std::string &Match);

  Fleet Running;
};

} // namespace rosemarylane::process_tests

#endif // ROSEMARYLANE_TESTS_PROCESS_WEIGHT_FLEET_H
