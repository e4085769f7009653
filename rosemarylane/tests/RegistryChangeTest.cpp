#include "node/RegistryChange.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using serving::StoreSection;
using serving::TargetId;

namespace {

serving::StoredItem record(const std::string &State) {
  return {R"({"service":"s","address":"10.0.0.1:80","zone":"a",)"
          R"("max-concurrency":4,"state":")" +
              State + R"("})",
          0,
          {}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(registry_change)

BOOST_AUTO_TEST_CASE(names_each_target_that_changed_once) {
  StoreSection::Items Old{{"servers/leaves", record("ready")},
                          {"servers/returns", record("draining")},
                          {"servers/goes", record("draining")},
                          {"servers/stays", record("ready")}};
  StoreSection::Items New{{"servers/leaves", record("draining")},
                          {"servers/returns", record("ready")},
                          {"servers/comes", record("ready")},
                          {"servers/stays", record("ready")}};
  RegistryChange Change = compareRegistries(Old, New);
  using Ids = std::vector<TargetId>;
  BOOST_TEST((Change.Added == Ids{TargetId("comes")}));
  BOOST_TEST((Change.Leaving == Ids{TargetId("leaves")}));
  BOOST_TEST((Change.ReadyAgain == Ids{TargetId("returns")}));
  BOOST_TEST((Change.Gone == Ids{TargetId("goes")}));
  BOOST_TEST(compareRegistries(New, New).empty());
}

BOOST_AUTO_TEST_CASE(target_that_comes_leaving_is_added_and_leaving) {
  RegistryChange Change =
      compareRegistries({}, {{"servers/x", record("draining")}});
  BOOST_TEST(Change.Added.size() == 1U);
  BOOST_TEST(Change.Leaving.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
