#ifndef ROSEMARYLANE_TESTS_FAKE_STORE_H
#define ROSEMARYLANE_TESTS_FAKE_STORE_H

#include "store/KeyValue.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylane {

/// A key-value service whose calls take effect and are answered only when the
/// test says so, and that can be restored from a copy.
///
/// Calls that have not ended when it is restored are lost with the service of
/// before. A call tells the history that it met.
class FakeStore : public store::KeyValue {
public:
  enum class Fate {
    Answered,
    /// The call takes no effect, and its caller is told so.
    Unavailable,
    /// The call takes effect, and its answer is lost.
    AnswerLost,
    /// The answer is lost, and the call takes effect later.
    Late,
  };

  void read(const std::string &Key, Hook<store::StoredValue> OnDone) override {
    Calls.push_back([this, Key, OnDone = std::move(OnDone)](Fate How) {
      if (How != Fate::Answered)
        return OnDone(lost(How));
      store::StoredValue Found = Values[Key];
      Found.History = Seen = History;
      OnDone(Found);
    });
  }

  void compareAndSwap(const std::string &Key, store::SwapCondition Condition,
                      std::string Value,
                      Hook<store::SwapOutcome> OnDone) override {
    if (Condition.Expected.History != Seen)
      return OnDone(otherHistory());
    Calls.push_back([this, Key, Condition, Value = std::move(Value),
                     OnDone = std::move(OnDone), Sent = History](Fate How) {
      if (How == Fate::Unavailable)
        return OnDone(lost(How));
      if (Sent != History)
        return OnDone(lost(Fate::AnswerLost));
      if (How == Fate::Late) {
        Calls.push_back([this, Key, Condition, Value, Sent](Fate) {
          if (Sent == History)
            swap(Key, Condition, Value);
        });
        return OnDone(lost(How));
      }
      store::SwapOutcome Outcome = swap(Key, Condition, Value);
      if (How == Fate::AnswerLost)
        return OnDone(lost(How));
      Seen = History;
      OnDone(Outcome);
    });
  }

  void erase(const std::string &Key, Hook<bool> OnDone) override {
    Calls.push_back([this, Key, OnDone = std::move(OnDone)](Fate How) {
      if (How != Fate::Answered)
        return OnDone(lost(How));
      OnDone(Values.erase(Key) > 0);
    });
  }

  /// Watches never fire; the tests read.
  std::unique_ptr<Watch>
  watch(const std::string &, store::StorePosition,
        std::function<void(store::StoredValue)>,
        std::function<void(store::StoreError)>) override {
    return std::make_unique<Watch>();
  }

  void copy() {
    Copied = Values;
    CopiedRevision = LastRevision;
  }

  void restore() {
    Values = Copied;
    LastRevision = CopiedRevision;
    ++History;
  }

  /// 0: a service that does not tell its history.
  std::uint64_t History = 0;

  std::size_t waiting() const { return Calls.size(); }

  /// Lets the call at \p Index end.
  void end(std::size_t Index, Fate How) {
    auto Call = std::move(Calls[Index]);
    Calls.erase(Calls.begin() + static_cast<std::ptrdiff_t>(Index));
    Call(How);
  }

  /// Tells callers of a lost answer that the call failed: the naive reading,
  /// which histories must find out.
  bool LostLooksUnavailable = false;

  std::map<std::string, store::StoredValue> Values;
  /// Told after each change of a value.
  std::function<void(const std::string &Value)> OnWrite;

private:
  tl::unexpected<store::StoreError> lost(Fate How) const {
    auto Kind = How == Fate::Unavailable || LostLooksUnavailable
                    ? store::StoreError::Kind::Unavailable
                    : store::StoreError::Kind::Unknown;
    return core::failure(store::StoreError{Kind, "fault"});
  }

  static tl::unexpected<store::StoreError> otherHistory() {
    return core::failure(
        store::StoreError{store::StoreError::Kind::OtherHistory, "restored"});
  }

  store::SwapOutcome swap(const std::string &Key,
                          const store::SwapCondition &Condition,
                          const std::string &Value) {
    store::StoredValue &Stored = Values[Key];
    Stored.History = History;
    bool GuardHeld = Condition.GuardKey.empty() ||
                     Values[Condition.GuardKey].Value == Condition.GuardValue;
    if (!GuardHeld || Stored.Revision != Condition.Expected.Revision)
      return {false, GuardHeld, Stored};
    Stored.Value = Value;
    Stored.Revision = ++LastRevision;
    if (OnWrite)
      OnWrite(Value);
    return {true, true, Stored};
  }

  /// The history of the last answer that the client of this service got.
  std::uint64_t Seen = 0;
  std::map<std::string, store::StoredValue> Copied;
  std::int64_t CopiedRevision = 0;
  std::int64_t LastRevision = 0;
  std::vector<std::function<void(Fate)>> Calls;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_TESTS_FAKE_STORE_H
