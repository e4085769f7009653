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
/// test says so.
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
      OnDone(Values[Key]);
    });
  }

  void compareAndSwap(const std::string &Key, store::SwapCondition Condition,
                      std::string Value,
                      Hook<store::SwapOutcome> OnDone) override {
    Calls.push_back([this, Key, Expected = Condition.Expected,
                     Value = std::move(Value),
                     OnDone = std::move(OnDone)](Fate How) {
      if (How == Fate::Unavailable)
        return OnDone(lost(How));
      if (How == Fate::Late) {
        Calls.push_back(
            [this, Key, Expected, Value](Fate) { swap(Key, Expected, Value); });
        return OnDone(lost(How));
      }
      store::SwapOutcome Outcome = swap(Key, Expected, Value);
      if (How == Fate::AnswerLost)
        return OnDone(lost(How));
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

  store::SwapOutcome swap(const std::string &Key, store::StorePosition Expected,
                          const std::string &Value) {
    store::StoredValue &Stored = Values[Key];
    if (Stored.Revision != Expected.Revision)
      return {false, Stored};
    Stored.Value = Value;
    Stored.Revision = ++LastRevision;
    if (OnWrite)
      OnWrite(Value);
    return {true, Stored};
  }

  std::int64_t LastRevision = 0;
  std::vector<std::function<void(Fate)>> Calls;
};

} // namespace rosemarylane

#endif // ROSEMARYLANE_TESTS_FAKE_STORE_H
