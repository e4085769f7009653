#ifndef ROSEMARYLANE_SERVING_RETURNED_ENTRIES_H
#define ROSEMARYLANE_SERVING_RETURNED_ENTRIES_H

#include "core/BootClock.h"
#include "serving/EraSightings.h"
#include "serving/RecordOrder.h"
#include "serving/StorePosition.h"
#include "serving/StoreSection.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace rosemarylane::serving {

/// Registry entries that a process does not use because they are back only with
/// the older copy from which the store was restored.
///
/// The copy may show a target that left, or an earlier incarnation of one that
/// restarted. A process that saw the entry vanish, or its incarnation replaced,
/// holds it back until it is clear that somebody keeps it: a read still shows
/// it that was sent `confirmationTime` after the era was first seen. A later
/// incarnation is usable at once. What is held back is an assumption of one
/// process and never leaves it. Value type without a clock of its own; not
/// thread-safe.
class ReturnedEntries {
public:
  /// The interval of a target's heartbeat if none is given.
  static constexpr std::chrono::milliseconds DefaultHeartbeat{1000};
  /// An entry ends after that many heartbeats that did not come.
  static constexpr int MissedHeartbeats = 3;
  /// What vanished earlier is not remembered: the copy is some seconds old.
  static constexpr std::chrono::seconds Memory{60};
  static constexpr std::size_t MaxRemembered = 4096;

  /// @param Incarnation orders the incarnations of an entry; entries without an
  /// order are of one incarnation if their values are equal.
  /// @param Heartbeat interval of a target's heartbeat.
  explicit ReturnedEntries(
      RecordOrder Incarnation,
      std::chrono::milliseconds Heartbeat = DefaultHeartbeat)
      : Incarnation(std::move(Incarnation)),
        ConfirmationTime(MissedHeartbeats * Heartbeat) {}

  /// @return the time from the first sighting of an era after which an entry
  /// that nobody keeps has ended.
  std::chrono::milliseconds confirmationTime() const {
    return ConfirmationTime;
  }

  /// To be called when the section has changed within an era. Remembers which
  /// entries of \p Before have vanished.
  void recordChange(const StoreSection::Items &Before,
                    const StoreSection::Items &Shown, core::BootTime Now);

  /// To be called when the era of the store has risen. Also remembers which
  /// entries of \p Before have vanished.
  /// @param Before the entries that this process acted on; they are not held
  /// back.
  /// @param Shown the entries that the section holds now.
  void storeRestored(const StoreSection::Items &Before,
                     const StoreSection::Items &Shown, core::BootTime Now);

  /// Releases entries that \p Shown does not hold in that incarnation any more,
  /// and all when their time is over.
  /// @param At position of the section.
  /// @param ConfirmedAt when the section was last confirmed.
  /// @return whether any was released.
  bool expire(const StoreSection::Items &Shown, StorePosition At,
              core::BootTime ConfirmedAt, const EraSightings &Sightings);

  /// @return \p Shown without the entries that are held back.
  StoreSection::Items usable(StoreSection::Items Shown) const;

  std::size_t size() const { return HeldBack.size(); }

private:
  struct Vanished {
    std::string Value;
    core::BootTime At{};
  };

  bool isLater(const std::string &Key, const std::string &Value,
               const std::string &Than) const;
  bool isEarlier(const std::string &Key, const std::string &Value,
                 const std::string &Than) const;
  void remember(const std::string &Key, const std::string &Value,
                core::BootTime Now);
  void forgetOld(core::BootTime Now);

  RecordOrder Incarnation;
  std::chrono::milliseconds ConfirmationTime;
  std::map<std::string, Vanished> Remembered;
  /// The values that are held back, by key.
  std::map<std::string, std::string> HeldBack;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_RETURNED_ENTRIES_H
