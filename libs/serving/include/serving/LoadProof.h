#ifndef ROSEMARYLANE_SERVING_LOAD_PROOF_H
#define ROSEMARYLANE_SERVING_LOAD_PROOF_H

#include "core/BootClock.h"
#include "serving/LoadVerdicts.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace rosemarylane::serving {

/// Decides whether the weights that a target holds are known to be whole, and
/// what to do if they are not.
///
/// A target loads what is staged at the moment it accepts an order. That moment
/// is only bounded: by the sending of the order, and by the first answer or
/// state that shows it. A load is *proven* if its order was shown to be
/// accepted within `Tolerance` after the oldest chunk was written, or if all
/// chunks were read back unchanged afterwards and none was written since. The
/// target gets no requests until then.
///
/// Pass every state of the target, order, answer and write to it. What is
/// loaded when the process first sees the target is proven only if the target
/// has begun no order since it started. Otherwise a process that ran here
/// before ordered it: whoever was told its verdict can pass it on, and until
/// then the load is read back. Value type without a clock of its own; not
/// thread-safe.
class LoadProof {
public:
  /// A load is not spoilt by a chunk that turned bad at most this long before
  /// its order was accepted.
  static constexpr std::chrono::milliseconds Tolerance{3000};

  /// What a target says of its orders and weights.
  struct TargetOrders {
    /// Identifies the incarnation.
    std::int64_t StartTimeMs = 0;
    /// Orders that have begun since the start.
    std::int64_t Accepted = 0;
    /// An order is being carried out.
    bool Busy = false;
    /// The version that is loaded; 0 for none.
    std::uint64_t Loaded = 0;

    bool operator==(const TargetOrders &) const = default;
  };

  enum class Answer {
    Begun,
    /// Not accepted, and will not be.
    Refused,
    /// May have been accepted, or may be later.
    None,
  };

  enum class Step { None, ReadBack, Unload };

  enum class ReadBack {
    Whole,
    Spoilt,
    /// A chunk could not be read.
    Failed,
  };

  /// How long others are given to pass on the verdict on a load that this
  /// process did not see begin, before it is unloaded. A chunk that turned bad
  /// since the load does not spoil it.
  static constexpr std::chrono::milliseconds VerdictTime{1000};

  /// Readings of one load that may fail before its layers are given up.
  static constexpr int MaxFailedReadBacks = 8;

  /// Takes a state of the target.
  /// @param From when the call that read it began.
  void observe(const TargetOrders &State, core::BootTime From,
               core::BootTime Now);

  /// Records that an order is about to be sent, with the number of orders in
  /// the last state as its precondition.
  /// @param Version the version to load; 0 to unload.
  /// @param OldestWrite when the oldest staged chunk was written.
  void orderSent(std::uint64_t Version, core::BootTime OldestWrite,
                 core::BootTime Now);
  /// Takes the answer to the order that was sent last.
  void orderAnswered(Answer Kind, core::BootTime Now);

  /// Records that a chunk was written, or that this was tried.
  void recordWrite(core::BootTime Now) { LastWrite = Now; }

  /// Takes what was read back of the chunks of the loaded version.
  /// @param Judged the last state when the reading began.
  void recordReadBack(ReadBack Found, const TargetOrders &Judged);

  /// Takes what another process knows of the load at the first look.
  /// @return whether it tells of that load, which was in doubt.
  bool takeVerdict(const LoadVerdict &Given);

  /// @return what is known of the last load; empty if it is not known yet.
  std::optional<LoadVerdict> verdict() const;

  /// @return whether nothing keeps the target from requests but that its load
  /// is in doubt, which began before the first look.
  bool seeksVerdict() const;

  /// @return whether an order to load \p Version has got no answer, and may
  /// still be accepted. Chunks that are written meanwhile could hide what it
  /// takes.
  bool awaitsOrder(std::uint64_t Version) const {
    return Unanswered && Unanswered->Version == Version;
  }

  /// @return what to do about the weights that the target holds.
  Step step() const;

  /// @return whether the target may get requests.
  bool isProven() const;

  /// @return the last state; empty if none was seen.
  const std::optional<TargetOrders> &last() const { return Last; }

private:
  /// Orders that may be accepted although no answer has come.
  struct OpenOrder {
    /// Empty if they name different versions.
    std::optional<std::uint64_t> Version;
    core::BootTime OldestWrite;
    core::BootTime SentAt;
    /// Number of orders before it.
    std::int64_t Precondition = 0;
  };

  /// What is known of the order that was accepted last.
  struct Acceptance {
    /// Number of orders with this one.
    std::int64_t Number = 0;
    /// The version of which only whole chunks were taken.
    std::optional<std::uint64_t> Whole;
    /// It was accepted at this time or later.
    core::BootTime From;
  };

  void startAnew(const TargetOrders &State);
  void takeStartedWith(const TargetOrders &State);
  Acceptance acceptance(const TargetOrders &State, core::BootTime Now) const;
  void recordBegun(const OpenOrder &Order, core::BootTime Now);
  std::optional<OpenOrder> openOrders() const;
  /// @return whether weights are loaded that are not proven.
  bool inDoubt() const;
  /// @return whether reading back can't prove what is loaded.
  bool isUnprovable() const;
  /// @return whether the load began before the first look.
  bool beganBefore() const {
    return Last && EarlierProcessOrders == Last->Accepted &&
           Held.Number == Last->Accepted;
  }

  std::optional<TargetOrders> Last;
  /// When the call that read the last state began.
  core::BootTime LastFrom{};
  /// An order of the process that ran here before may still be accepted while
  /// the target shows so many orders.
  std::optional<std::int64_t> EarlierProcessOrders;
  /// The order being sent, and those without an answer.
  std::optional<OpenOrder> Sending;
  std::optional<OpenOrder> Unanswered;
  /// By its answer, ahead of the state.
  std::optional<Acceptance> Announced;
  Acceptance Held;
  /// Reading back cannot prove what was accepted last, or has disproved it.
  bool MustUnload = false;
  int FailedReadBacks = 0;
  /// Another process may still pass on the verdict on the load at the first
  /// look.
  bool AwaitsVerdict = false;
  core::BootTime VerdictUntil{};
  std::optional<core::BootTime> LastWrite;
};

} // namespace rosemarylane::serving

#endif // ROSEMARYLANE_SERVING_LOAD_PROOF_H
