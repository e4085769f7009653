#ifndef ROSEMARYLANE_RUNTIME_RING_H
#define ROSEMARYLANE_RUNTIME_RING_H

#include <boost/circular_buffer.hpp>
#include <mutex>
#include <optional>

namespace rosemarylane::runtime {

/// A bounded queue between threads. A full ring refuses, so that load is shed
/// where it arises.
///
/// Any number of threads may push and pop.
template <typename T> class Ring {
public:
  explicit Ring(std::size_t Capacity) : Items(Capacity) {}

  /// Adds \p Item unless the ring is full.
  /// @return whether the item was taken; if not, \p Item is unchanged.
  bool tryPush(T &&Item) {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Items.full())
      return false;
    Items.push_back(std::move(Item));
    return true;
  }

  /// Takes the oldest item, if there is one.
  std::optional<T> tryPop() {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Items.empty())
      return std::nullopt;
    std::optional<T> Item(std::move(Items.front()));
    Items.pop_front();
    return Item;
  }

  std::size_t size() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Items.size();
  }

private:
  mutable std::mutex Mutex;
  boost::circular_buffer<T> Items;
};

} // namespace rosemarylane::runtime

#endif // ROSEMARYLANE_RUNTIME_RING_H
