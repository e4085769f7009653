#include "serving/ServingConfig.h"

#include <boost/test/unit_test.hpp>

using namespace rosemarylane;
using namespace rosemarylane::serving;

BOOST_AUTO_TEST_SUITE(serving_config)

BOOST_AUTO_TEST_CASE(longest_prefix_of_the_host_wins) {
  ServingConfig Config;
  for (const char *Prefix : {"/a/", "/a/b/", "/"}) {
    Route R;
    R.Name = Prefix;
    R.HostName = "one.example";
    R.Prefix = Prefix;
    Config.Routes.push_back(R);
  }
  Config.index();
  BOOST_TEST(Config.route("one.example", "/a/b/c")->Name == "/a/b/");
  BOOST_TEST(Config.route("one.example", "/a/x")->Name == "/a/");
  BOOST_TEST(Config.route("one.example", "/a")->Name == "/");
  BOOST_TEST(Config.route("two.example", "/a/b/c") == nullptr);
}

BOOST_AUTO_TEST_CASE(a_key_belongs_to_one_workspace) {
  ServingConfig Config;
  Config.Workspaces.push_back(
      {core::WorkspaceId("w"), {"k1", "k2"}, std::nullopt, {}});
  Config.index();
  BOOST_TEST(Config.findWorkspaceByKey("k2")->Name.str() == "w");
  BOOST_TEST(Config.findWorkspaceByKey("k3") == nullptr);
  BOOST_TEST(Config.requiresApiKeys());
}

BOOST_AUTO_TEST_SUITE_END()
