#include "common/AttemptIdGenerator.h"

#include <boost/test/unit_test.hpp>
#include <set>

using rosemarylane::AttemptIdGenerator;

BOOST_AUTO_TEST_SUITE(request_ids)

/// Each process, and each restart of one, has a generator of its own.
BOOST_AUTO_TEST_CASE(fresh_generators_do_not_repeat_each_other) {
  constexpr std::size_t Processes = 2000;
  constexpr std::size_t IdsEach = 5;
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Processes; ++I) {
    AttemptIdGenerator Ids;
    for (std::size_t J = 0; J < IdsEach; ++J)
      Seen.insert(Ids.next());
  }
  BOOST_TEST(Seen.size() == Processes * IdsEach);
}

BOOST_AUTO_TEST_SUITE_END()
