#include "Load.h"

#include <ostream>

namespace rosemarylane::process_tests {

namespace {

constexpr std::chrono::seconds CallLimit{15};
constexpr std::chrono::milliseconds PauseAfterRefusal{20};

} // namespace

std::ostream &operator<<(std::ostream &Out, const LoadReport &Report) {
  Out << "answered " << Report.Answered << ", refused " << Report.Refused
      << ", not whole " << Report.NotWhole << ", wrong " << Report.Wrong
      << ", not connected " << Report.NotConnected;
  for (const auto &[Outcome, Example] : Report.Examples)
    Out << "\n  " << Outcome << ": " << Example.substr(0, 300);
  return Out;
}

Load::Load(Fleet &F, std::size_t Callers, Send SendOne)
    : F(F), SendOne(std::move(SendOne)) {
  for (std::size_t I = 0; I < Callers; ++I)
    Threads.emplace_back([this] { run(); });
}

Load::~Load() { stop(); }

LoadReport Load::stop() {
  Stopping = true;
  for (std::thread &T : Threads)
    T.join();
  Threads.clear();
  return Report;
}

void Load::avoid(const Fleet::Host &Entry) {
  std::lock_guard Lock(Mutex);
  Avoided[Entry.Name] = true;
}

void Load::useAgain(const Fleet::Host &Entry) {
  std::lock_guard Lock(Mutex);
  Avoided.erase(Entry.Name);
}

Fleet::Host *Load::choose(std::uint64_t Number) {
  std::lock_guard Lock(Mutex);
  auto Entries = F.entries();
  std::erase_if(
      Entries, [&](const Fleet::Host *H) { return Avoided.contains(H->Name); });
  return Entries.empty() ? nullptr : Entries[Number % Entries.size()];
}

void Load::run() {
  while (!Stopping) {
    std::uint64_t Number = Next++;
    if (Fleet::Host *Entry = choose(Number))
      SendOne(Number, *Entry, *this);
    else
      std::this_thread::sleep_for(PauseAfterRefusal);
  }
}

void Load::count(const CallResult &Result, const std::string &Text,
                 const std::string &Expected) {
  bool Pause = !Result.ok();
  {
    std::lock_guard Lock(Mutex);
    if (Result.ok() && (Expected.empty() || Text == Expected))
      ++Report.Answered;
    else if (Result.ok())
      ++Report.Wrong, Report.Examples["wrong"] = Text + " for " + Expected;
    else if (Result.whole())
      ++Report.Refused, Report.Examples["refused"] = Result.body();
    else if (Result.Error.starts_with("connect"))
      ++Report.NotConnected;
    else
      ++Report.NotWhole, Report.Examples["not whole"] = Result.Error;
  }
  if (Pause)
    std::this_thread::sleep_for(PauseAfterRefusal);
}

Load::Send chatCalls(Fleet &F, bool Stream) {
  return [&F, Stream](std::uint64_t Number, Fleet::Host &Entry, Load &To) {
    std::string Prompt = "prompt " + std::to_string(Number);
    auto Result =
        F.caller().call(Entry.Http, F.chat(Prompt, Stream), CallLimit);
    To.count(Result, Fleet::textOf(Result, Stream), F.expectedText(Prompt));
  };
}

} // namespace rosemarylane::process_tests
