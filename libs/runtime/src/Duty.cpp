#include "runtime/Duty.h"

#include "runtime/Ring.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <cassert>
#include <pthread.h>
#include <thread>

namespace rosemarylane::runtime {

struct Duty::State {
  State(std::string Name, std::size_t Capacity, ErrorHook OnError)
      : Name(std::move(Name)), OnError(std::move(OnError)), Tasks(Capacity),
        Work(boost::asio::make_work_guard(Context)) {}

  /// Runs one waiting task; a wake-up is posted for each task pushed.
  void runNext() {
    if (auto Next = Tasks.tryPop())
      runGuarded(*Next);
  }

  void runGuarded(const Task &Work) {
    try {
      Work();
    } catch (const std::exception &E) {
      if (OnError)
        OnError(Name + ": " + E.what());
    }
  }

  void run() {
    while (!Context.stopped()) {
      try {
        Context.run();
      } catch (const std::exception &E) {
        if (OnError)
          OnError(Name + ": " + E.what());
      }
    }
  }

  std::string Name;
  ErrorHook OnError;
  Ring<Task> Tasks;
  boost::asio::io_context Context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work;
  std::atomic<bool> Stopped{false};
  std::thread Thread;
};

std::unique_ptr<Duty> Duty::start(std::string Name, std::size_t Capacity,
                                  ErrorHook OnError) {
  assert(Capacity > 0);
  auto S =
      std::make_unique<State>(std::move(Name), Capacity, std::move(OnError));
  State *Raw = S.get();
  Raw->Thread = std::thread([Raw] { Raw->run(); });
  pthread_setname_np(Raw->Thread.native_handle(),
                     Raw->Name.substr(0, 15).c_str());
  return std::unique_ptr<Duty>(new Duty(std::move(S)));
}

Duty::Duty(std::unique_ptr<State> S) : S(std::move(S)) {}

Duty::~Duty() { stop(); }

bool Duty::post(Task Work) {
  if (S->Stopped || !S->Tasks.tryPush(std::move(Work)))
    return false;
  boost::asio::post(S->Context, [Raw = S.get()] { Raw->runNext(); });
  return true;
}

void Duty::postAlways(Task Work) {
  if (S->Stopped)
    return;
  boost::asio::post(S->Context, [Raw = S.get(), Work = std::move(Work)] {
    Raw->runGuarded(Work);
  });
}

void Duty::stop() {
  if (S->Stopped.exchange(true))
    return;
  assert(!current());
  S->Work.reset();
  S->Context.stop();
  S->Thread.join();
}

bool Duty::current() const {
  return std::this_thread::get_id() == S->Thread.get_id();
}

boost::asio::io_context &Duty::context() { return S->Context; }

std::size_t Duty::waiting() const { return S->Tasks.size(); }

} // namespace rosemarylane::runtime
