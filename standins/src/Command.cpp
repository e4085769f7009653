#include "Command.h"

#include "EngineStandin.h"
#include "PlatformStandin.h"
#include "Relay.h"
#include "ServiceStandin.h"

#include <boost/asio/io_context.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <popt.h>
#include <string_view>
#include <sys/resource.h>
#include <thread>
#include <vector>

namespace rosemarylane::standins {

namespace {

constexpr std::size_t RingCapacity = 4096;
constexpr std::size_t MaxBodyBytes = 64 << 20;
constexpr std::size_t MaxBacklogBytes = 256 << 20;
constexpr std::size_t MaxConnections = 16384;
constexpr std::chrono::minutes IdleTimeout{10};
constexpr int UsageError = 2;
constexpr int StartError = 1;

constexpr char Usage[] =
    "Usage: standin platform|engine|service|relay --listen IP:PORT "
    "[OPTION...]\n"
    "Each has --help.\n";

/// What the command line gives; each kind of stand-in uses its own part.
struct Options {
  char *Listen = nullptr;
  int Count = 1;
  int Threads = 1;
  char *HostsFile = nullptr;
  long long OriginRate = 0;
  int Tokens = 16;
  int FirstTokenMicroseconds = 2000;
  int TokenMicroseconds = 1000;
  int Concurrency = 16;
  int ColdConcurrency = 2;
  int WarmAfter = 0;
  long long MemoryBytes = 0;
  int LoadMilliseconds = 0;
  int RestartMilliseconds = 300;
  int TrustChunks = 0;
  int LatencyMilliseconds = 0;
  char *RelayTo = nullptr;
  char *ControlAddress = nullptr;
  long long RelayRate = 0;
  int DelayMilliseconds = 0;
};

/// A stand-in with its server.
struct Instance {
  std::unique_ptr<Standin> Service;
  std::unique_ptr<http::Server> Server;
};

bool parse(int Argc, const char **Argv, Options &O) {
  poptOption Table[] = {
      {"listen", 'l', POPT_ARG_STRING, &O.Listen, 0,
       "address to listen on; further stand-ins take the ports after it",
       "IP:PORT"},
      {"count", 0, POPT_ARG_INT, &O.Count, 0, "stand-ins in this process", "N"},
      {"threads", 0, POPT_ARG_INT, &O.Threads, 0, "threads they share", "N"},
      {"hosts", 0, POPT_ARG_STRING, &O.HostsFile, 0,
       "platform: first host list", "FILE"},
      {"origin-rate", 0, POPT_ARG_LONGLONG, &O.OriginRate, 0,
       "platform: bytes per second of the origin's link", "N"},
      {"tokens", 0, POPT_ARG_INT, &O.Tokens, 0, "engine: tokens of an answer",
       "N"},
      {"first-token-us", 0, POPT_ARG_INT, &O.FirstTokenMicroseconds, 0,
       "engine: time to the first token", "N"},
      {"token-interval-us", 0, POPT_ARG_INT, &O.TokenMicroseconds, 0,
       "engine: time between tokens", "N"},
      {"concurrency", 0, POPT_ARG_INT, &O.Concurrency, 0,
       "engine: requests in one batch", "N"},
      {"cold-concurrency", 0, POPT_ARG_INT, &O.ColdConcurrency, 0,
       "engine: requests that it bears while cold", "N"},
      {"warm-after", 0, POPT_ARG_INT, &O.WarmAfter, 0,
       "engine: answers until it is warm; 0 starts warm", "N"},
      {"memory-bytes", 0, POPT_ARG_LONGLONG, &O.MemoryBytes, 0,
       "engine: room for chunks", "N"},
      {"load-ms", 0, POPT_ARG_INT, &O.LoadMilliseconds, 0,
       "engine: time that a load takes", "N"},
      {"restart-ms", 0, POPT_ARG_INT, &O.RestartMilliseconds, 0,
       "engine: time that a restart takes after a crash", "N"},
      {"trust-chunks", 0, POPT_ARG_NONE, &O.TrustChunks, 0,
       "engine: does not check the digests of chunks", nullptr},
      {"latency-ms", 0, POPT_ARG_INT, &O.LatencyMilliseconds, 0,
       "service: time that a run takes", "N"},
      {"to", 0, POPT_ARG_STRING, &O.RelayTo, 0, "relay: where to", "IP:PORT"},
      {"control", 0, POPT_ARG_STRING, &O.ControlAddress, 0,
       "relay: address of its fault switch", "IP:PORT"},
      {"rate", 0, POPT_ARG_LONGLONG, &O.RelayRate, 0,
       "relay: bytes per second each way", "N"},
      {"delay-ms", 0, POPT_ARG_INT, &O.DelayMilliseconds, 0,
       "relay: delay each way", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context = poptGetContext("standin", Argc, Argv, Table, 0);
  int Code = poptGetNextOpt(Context);
  if (Code < -1)
    std::fprintf(stderr, "%s: %s\n", poptBadOption(Context, 0),
                 poptStrerror(Code));
  poptFreeContext(Context);
  return Code == -1 && O.Listen;
}

std::unique_ptr<Standin> makePlatform(runtime::Duty &On, const Options &O) {
  PlatformSettings Settings;
  if (O.HostsFile) {
    std::ifstream File(O.HostsFile);
    Settings.Hosts.assign(std::istreambuf_iterator<char>(File), {});
  }
  Settings.OriginBytesPerSecond = static_cast<std::uint64_t>(O.OriginRate);
  return std::make_unique<PlatformStandin>(On, std::move(Settings));
}

std::unique_ptr<Standin> makeEngine(runtime::Duty &On, const Options &O) {
  EngineSettings Settings;
  Settings.Tokens = static_cast<std::size_t>(O.Tokens);
  Settings.FirstToken = std::chrono::microseconds(O.FirstTokenMicroseconds);
  Settings.TokenInterval = std::chrono::microseconds(O.TokenMicroseconds);
  Settings.Concurrency = static_cast<std::size_t>(O.Concurrency);
  Settings.ColdConcurrency = static_cast<std::size_t>(O.ColdConcurrency);
  Settings.WarmAfter = static_cast<std::size_t>(O.WarmAfter);
  Settings.MemoryBytes = static_cast<std::uint64_t>(O.MemoryBytes);
  Settings.LoadTime = std::chrono::milliseconds(O.LoadMilliseconds);
  Settings.RestartTime = std::chrono::milliseconds(O.RestartMilliseconds);
  Settings.CheckChunks = O.TrustChunks == 0;
  return std::make_unique<EngineStandin>(On, Settings);
}

std::unique_ptr<Standin> makeService(runtime::Duty &On, const Options &O) {
  return std::make_unique<ServiceStandin>(
      On, std::chrono::milliseconds(O.LatencyMilliseconds));
}

using Maker = std::unique_ptr<Standin> (*)(runtime::Duty &, const Options &);

Maker makerOf(std::string_view Kind) {
  if (Kind == "platform")
    return makePlatform;
  if (Kind == "engine")
    return makeEngine;
  return Kind == "service" ? makeService : nullptr;
}

/// @return \p Address with its port raised by \p Index.
std::string addressAt(const std::string &Address, int Index) {
  auto Colon = Address.rfind(':');
  return Address.substr(0, Colon + 1) +
         std::to_string(std::stoi(Address.substr(Colon + 1)) + Index);
}

/// Starts \p Index of the stand-ins; null if it cannot listen.
std::unique_ptr<Instance> start(Maker Make, runtime::Duty &On, const Options &O,
                                int Index) {
  auto Started = std::make_unique<Instance>();
  Started->Service = Make(On, O);
  http::ServerSettings Settings;
  Settings.Address = addressAt(O.Listen, Index);
  Settings.MaxBodyBytes = MaxBodyBytes;
  Settings.MaxBacklogBytes = MaxBacklogBytes;
  Settings.MaxConnections = MaxConnections;
  Settings.ReadTimeout = IdleTimeout;
  auto Server = http::Server::listen(
      On, Settings, [Service = Started->Service.get()](auto Call) {
        Service->receive(Call);
      });
  if (!Server) {
    std::fprintf(stderr, "standin: %s\n", Server.error().Detail.c_str());
    return nullptr;
  }
  Started->Server = std::move(*Server);
  return Started;
}

/// Blocks the signals that end the process in all threads started later.
sigset_t blockEndSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

void raiseFileLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  (void)setrlimit(RLIMIT_NOFILE, &Limit);
}

std::vector<std::unique_ptr<runtime::Duty>> startDuties(const Options &O) {
  std::vector<std::unique_ptr<runtime::Duty>> Duties;
  for (int I = 0; I < std::max(1, O.Threads); ++I)
    Duties.push_back(
        runtime::Duty::start("standin", RingCapacity, [](const auto &What) {
          std::fprintf(stderr, "standin: %s\n", What.c_str());
        }));
  return Duties;
}

void waitForEnd(const sigset_t &Signals) {
  int Received = 0;
  sigwait(&Signals, &Received);
}

int runServices(Maker Make, const Options &O) {
  sigset_t Signals = blockEndSignals();
  auto Duties = startDuties(O);
  std::vector<std::unique_ptr<Instance>> Instances;
  for (int I = 0; I < O.Count; ++I) {
    Instances.push_back(start(
        Make, *Duties[static_cast<std::size_t>(I) % Duties.size()], O, I));
    if (!Instances.back())
      return StartError;
  }
  waitForEnd(Signals);
  // Work on the duties refers to the stand-ins.
  for (const auto &Duty : Duties)
    Duty->stop();
  return 0;
}

int runRelay(const Options &O) {
  sigset_t Signals = blockEndSignals();
  auto Duties = startDuties(O);
  RelaySettings Settings;
  Settings.Listen = O.Listen;
  Settings.To = O.RelayTo ? O.RelayTo : "";
  Settings.Control = O.ControlAddress ? O.ControlAddress : "";
  Settings.Count = O.Count;
  Settings.BytesPerSecond = static_cast<std::uint64_t>(O.RelayRate);
  Settings.Delay = std::chrono::milliseconds(O.DelayMilliseconds);
  auto Started = Relay::start(*Duties.front(), Settings);
  if (!Started) {
    std::fprintf(stderr, "standin: %s\n", Started.error().Detail.c_str());
    return StartError;
  }
  waitForEnd(Signals);
  Duties.front()->stop();
  return 0;
}

} // namespace

int runCommand(int Argc, const char **Argv) {
  std::string_view Kind = Argc > 1 ? Argv[1] : "";
  Options O;
  bool IsRelay = Kind == "relay";
  Maker Make = makerOf(Kind);
  if ((!Make && !IsRelay) || !parse(Argc - 1, Argv + 1, O)) {
    std::fputs(Usage, stderr);
    return UsageError;
  }
  raiseFileLimit();
  return IsRelay ? runRelay(O) : runServices(Make, O);
}

} // namespace rosemarylane::standins
