#include "RunOnDuty.h"

#include <boost/asio/io_context.hpp>
#include <cassert>
#include <future>

namespace rosemarylane::http {

void runOnDuty(runtime::Duty &On, const runtime::Duty::Task &Work) {
  assert(!On.current());
  if (On.context().stopped())
    return Work();
  std::promise<void> Done;
  On.postAlways([&] {
    Work();
    Done.set_value();
  });
  Done.get_future().wait();
}

} // namespace rosemarylane::http
