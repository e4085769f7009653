#ifndef ROSEMARYLANE_RUNTIME_DUTY_H
#define ROSEMARYLANE_RUNTIME_DUTY_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace rosemarylane::runtime {

/// A thread with one job, and the bounded ring of tasks through which other
/// threads reach it.
///
/// State that belongs to a duty is touched only by tasks run on it, so it needs
/// no locks. The thread also runs `context()`, for sockets that the duty owns.
/// Destroying the duty stops and joins its thread; tasks still in the ring are
/// dropped.
class Duty {
public:
  using Task = std::function<void()>;
  /// Told of an exception that escaped a task; the duty goes on with the next
  /// task.
  using ErrorHook = std::function<void(const std::string &What)>;

  /// Starts the thread.
  /// @param Name shown by the system's tools; at most 15 characters.
  /// @param Capacity tasks that may wait.
  static std::unique_ptr<Duty> start(std::string Name, std::size_t Capacity,
                                     ErrorHook OnError);

  ~Duty();
  Duty(const Duty &) = delete;
  Duty &operator=(const Duty &) = delete;

  /// Hands \p Work to the duty. May be called from any thread.
  /// @return false when the ring is full or the duty has stopped; the work is
  /// then not run.
  [[nodiscard]] bool post(Task Work);

  /// As `post`, for work that must not be lost, such as the end of an
  /// operation; the ring's bound does not apply.
  void postAlways(Task Work);

  /// Stops the thread after the running task and joins it. Not called on the
  /// duty itself.
  void stop();

  /// @return whether the calling thread is this duty's.
  bool current() const;

  /// @return the event loop of the duty's thread, for its own sockets.
  boost::asio::io_context &context();

  /// @return tasks waiting in the ring.
  std::size_t waiting() const;

private:
  struct State;
  explicit Duty(std::unique_ptr<State> S);
  std::unique_ptr<State> S;
};

} // namespace rosemarylane::runtime

#endif // ROSEMARYLANE_RUNTIME_DUTY_H
