#include "node/RegistryChange.h"

#include "platform/Records.h"
#include "telemetry/Log.h"

#include <cstdint>
#include <map>

namespace rosemarylane {

using serving::RegisteredTarget;
using serving::StoreSection;
using serving::TargetId;

namespace {

/// Each list in a log line names at most this many; the count is complete.
constexpr std::size_t MaxLoggedNames = 16;

/// Collects names for one field of a log line.
class NameList {
public:
  void add(const std::string &Name) {
    if (++Count <= MaxLoggedNames)
      Text += (Text.empty() ? "" : ",") + Name;
  }
  std::int64_t count() const { return std::int64_t(Count); }
  const std::string &text() const { return Text; }

private:
  std::size_t Count = 0;
  std::string Text;
};

NameList namesOf(const std::vector<TargetId> &Ids) {
  NameList Names;
  for (const TargetId &Id : Ids)
    Names.add(Id.str());
  return Names;
}

/// @return the items of \p Items that \p Other does not hold with the same
/// value.
StoreSection::Items differing(const StoreSection::Items &Items,
                              const StoreSection::Items &Other) {
  StoreSection::Items Result;
  for (const auto &[Key, Item] : Items) {
    auto Found = Other.find(Key);
    if (Found == Other.end() || Found->second.Value != Item.Value)
      Result.emplace_hint(Result.end(), Key, Item);
  }
  return Result;
}

std::map<TargetId, bool> drainingById(const StoreSection::Items &Items) {
  std::map<TargetId, bool> Result;
  for (const RegisteredTarget &Target : platform::decodeRegistry(Items).Targets)
    Result.emplace(Target.Id, Target.Draining);
  return Result;
}

} // namespace

RegistryChange compareRegistries(const StoreSection::Items &Old,
                                 const StoreSection::Items &New) {
  RegistryChange Change;
  std::map<TargetId, bool> Before = drainingById(differing(Old, New));
  std::map<TargetId, bool> After = drainingById(differing(New, Old));
  for (const auto &[Id, Draining] : After) {
    auto Known = Before.find(Id);
    if (Known == Before.end())
      Change.Added.push_back(Id);
    bool WasDraining = Known != Before.end() && Known->second;
    if (Draining && !WasDraining)
      Change.Leaving.push_back(Id);
    if (WasDraining && !Draining)
      Change.ReadyAgain.push_back(Id);
  }
  for (const auto &[Id, Draining] : Before)
    if (!After.contains(Id))
      Change.Gone.push_back(Id);
  return Change;
}

void logRegistryChange(const RegistryChange &Change, serving::StorePosition At,
                       const std::string &Source) {
  if (Change.empty())
    return;
  telemetry::log(telemetry::Level::Info, "targets changed",
                 {{"era", std::int64_t(At.Era)},
                  {"store_revision", At.Revision},
                  {"source", Source},
                  {"added", namesOf(Change.Added).text()},
                  {"added_count", std::int64_t(Change.Added.size())},
                  {"leaving", namesOf(Change.Leaving).text()},
                  {"leaving_count", std::int64_t(Change.Leaving.size())},
                  {"ready_again", namesOf(Change.ReadyAgain).text()},
                  {"ready_again_count", std::int64_t(Change.ReadyAgain.size())},
                  {"gone", namesOf(Change.Gone).text()},
                  {"gone_count", std::int64_t(Change.Gone.size())}});
}

void logRetainedEntries(const StoreSection::Items &Read,
                        const StoreSection::Items &Retained,
                        serving::StorePosition At) {
  NameList Names;
  for (const auto &[Key, Item] : Retained)
    if (!Read.contains(Key))
      Names.add(Key);
  if (Names.count() > 0)
    telemetry::log(telemetry::Level::Info, "registry entries retained",
                   {{"era", std::int64_t(At.Era)},
                    {"store_revision", At.Revision},
                    {"count", Names.count()},
                    {"entries", Names.text()}});
}

} // namespace rosemarylane
