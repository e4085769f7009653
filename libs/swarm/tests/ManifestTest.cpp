#include "swarm/Manifest.h"

#include "Generators.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane;
using swarm::Manifest;

namespace {

Manifest makeManifest(std::size_t Chunks) {
  Manifest M;
  M.Name = "draft";
  for (const core::Digest &Id : swarm::testing::makeDigests(Chunks))
    M.Chunks.push_back({Id, 1 + M.Chunks.size()});
  return M;
}

} // namespace

BOOST_AUTO_TEST_SUITE(manifest)

BOOST_AUTO_TEST_CASE(round_trip) {
  BOOST_TEST(rc::check([] {
    Manifest M = makeManifest(*rc::gen::inRange(1, 40));
    // A version may contain a chunk more than once.
    if (*rc::gen::arbitrary<bool>())
      M.Chunks.push_back(M.Chunks.front());
    std::string Json = M.format();
    auto Read = Manifest::parseVersion(core::Digest::of(Json), Json);
    RC_ASSERT(Read.has_value());
    RC_ASSERT(*Read == M);
  }));
}

BOOST_AUTO_TEST_CASE(any_changed_byte_is_refused) {
  BOOST_TEST(rc::check([] {
    std::string Json = makeManifest(5).format();
    core::Digest Version = core::Digest::of(Json);
    auto At = static_cast<std::size_t>(
        *rc::gen::inRange<int>(0, static_cast<int>(Json.size())));
    Json[At] = static_cast<char>(Json[At] ^ *rc::gen::inRange(1, 128));
    RC_ASSERT(!Manifest::parseVersion(Version, Json).has_value());
  }));
}

BOOST_AUTO_TEST_CASE(malformed_documents_are_refused) {
  std::string Hex = core::Digest::of("x").hex();
  for (const std::string &Json : {
           std::string("nonsense"),
           std::string("[]"),
           std::string(R"({"name": "a", "chunks": []})"),
           std::string(R"({"name": "a", "chunks": [1]})"),
           std::string(R"({"chunks": [{"sha256": ")") + Hex +
               R"(", "bytes": 1}]})",
           std::string(R"({"name": "a", "chunks": [{"sha256": "12", )") +
               R"("bytes": 1}]})",
           std::string(R"({"name": "a", "chunks": [{"sha256": ")") + Hex +
               R"(", "bytes": 0}]})",
           std::string(R"({"name": "a", "chunks": [{"sha256": ")") + Hex +
               R"(", "bytes": 99999999999}]})",
       })
    BOOST_TEST(!Manifest::parse(Json).has_value(), Json);
}

BOOST_AUTO_TEST_CASE(repeated_chunks_are_fetched_once) {
  Manifest M = makeManifest(3);
  M.Chunks.push_back(M.Chunks[1]);
  BOOST_TEST(M.distinctChunks().size() == 3u);
}

BOOST_AUTO_TEST_SUITE_END()
