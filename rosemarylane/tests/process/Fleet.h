#ifndef ROSEMARYLANE_TESTS_PROCESS_FLEET_H
#define ROSEMARYLANE_TESTS_PROCESS_FLEET_H

#include "ChildProcess.h"
#include "HttpCaller.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylane::process_tests {

/// What a test needs of a fleet.
struct FleetOptions {
  std::vector<std::string> FailureDomains{"a", "b"};
  int EntriesPerDomain = 2;
  int EnginesPerDomain = 0;
  /// Plain services `orders`, one to a failure domain in turn; not idempotent.
  int Services = 1;
  std::vector<std::string> ServiceArguments;
  std::vector<std::string> EngineArguments;
  std::uint64_t ModelBytes = 512 << 10;
  /// Whether the entries reach the key-value service through a relay.
  bool StoreRelay = false;
};

/// A small fleet on loopback: the platform's stand-in, targets with an agent
/// each, and entries; the catalogue is applied and served.
///
/// Throws if it does not come up. Everything ends with it.
class Fleet {
public:
  /// The number of tokens of an engine's answer, unless its arguments say
  /// otherwise.
  static constexpr std::size_t TokensOfAnswer = 16;

  /// An entry or agent, with what it needs to be started again.
  struct Host {
    std::string Name;
    std::string Role;
    std::string FailureDomain;
    std::string Http;
    std::string Peers;
    /// The target's address, agents only.
    std::string Target;
    std::unique_ptr<ChildProcess> Process;
    /// The target's stand-in, agents only.
    std::unique_ptr<ChildProcess> TargetProcess;
  };

  explicit Fleet(FleetOptions Options);
  ~Fleet();

  std::vector<Host *> entries() { return byRole("entry"); }
  std::vector<Host *> agents() { return byRole("agent"); }
  std::vector<Host *> entriesOf(const std::string &FailureDomain);
  /// The agents of services, or of engines.
  std::vector<Host *> serviceAgents();
  std::vector<Host *> engineAgents();

  void startHost(Host &H);
  /// Waits until every entry answers chats and orders.
  void awaitServing();

  /// A call to the service that may not be repeated.
  http::Request order(const std::string &Key, const std::string &Body) const;
  /// A chat completion.
  http::Request chat(const std::string &Prompt, bool Stream) const;
  /// The text that the version in service answers, and the wrapping of an
  /// answer taken off.
  std::string expectedText(const std::string &Prompt) const {
    return expectedText(Prompt, Version);
  }
  static std::string expectedText(const std::string &Prompt,
                                  const std::string &Version);
  static std::string textOf(const CallResult &Answer, bool Stream);

  /// Runs of \p Key over all services.
  std::uint64_t runs(const std::string &Key);
  /// Runs of each key over all services.
  std::map<std::string, std::uint64_t> allRuns();
  /// A counter of a target's stand-in.
  std::uint64_t counter(const std::string &Address, const std::string &Name);

  void setFaults(const std::string &Address, const std::string &Json);
  /// @return the revision in force at a host, none if it does not answer.
  std::optional<std::uint64_t> revision(const Host &H);
  /// Makes another version of the model at the origin.
  /// @return its digest in hexadecimal digits.
  std::string makeVersion(unsigned Seed);
  /// Puts a catalogue with that version of the model in force, through \p By.
  CallResult applyVersion(Host &By, const std::string &NewVersion);
  const std::string &version() const { return Version; }

  /// Takes a failure domain out or brings it back, through \p By.
  CallResult orderDomain(Host &By, const std::string &FailureDomain, bool Out);

  std::string platform() const { return Platform; }
  std::string storeRelayControl() const { return RelayControl; }
  ChildProcess &platformProcess() { return *PlatformProcess; }
  HttpCaller &caller() { return Caller; }

  /// Waits until \p Holds, and fails the test otherwise.
  static void await(const std::string &What, std::chrono::milliseconds Limit,
                    const std::function<bool()> &Holds);

private:
  std::string takeAddress();
  void startStandin(std::unique_ptr<ChildProcess> &To, const std::string &Name,
                    std::vector<std::string> Arguments);
  void describe(const std::string &Name, const std::string &Role,
                const std::string &FailureDomain, const std::string &Target,
                const std::string &TargetKind);
  void startPlatform();
  void describeHosts();
  void listHosts();
  std::string catalogue(const std::string &ModelVersion) const;
  void applyCatalogue();
  std::vector<Host *> byRole(const std::string &Role);
  std::string logFile(const std::string &Name) const;

  FleetOptions Options;
  HttpCaller Caller;
  std::string Directory;
  int NextPort;
  std::string Platform;
  std::string Store;
  std::string RelayControl;
  std::string Version;
  int Orders = 0;
  std::unique_ptr<ChildProcess> PlatformProcess;
  std::unique_ptr<ChildProcess> RelayProcess;
  std::vector<std::unique_ptr<Host>> Hosts;
};

} // namespace rosemarylane::process_tests

#endif // ROSEMARYLANE_TESTS_PROCESS_FLEET_H
