#include "wire/Compression.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace rosemarylane;

BOOST_AUTO_TEST_SUITE(compression)

BOOST_AUTO_TEST_CASE(any_bytes_come_back) {
  bool Holds = rc::check("round trip", [](const std::string &Bytes) {
    RC_ASSERT(wire::decompress(wire::compress(Bytes), Bytes.size()) == Bytes);
  });
  BOOST_TEST(Holds);
}

BOOST_AUTO_TEST_CASE(a_large_value_becomes_small) {
  std::string Value;
  for (int I = 0; I < 2000; ++I)
    Value += R"({"name":"r)" + std::to_string(I) + R"(","kind":"idempotent"},)";
  std::string Compressed = wire::compress(Value);
  BOOST_TEST(Compressed.size() < Value.size() / 4);
  BOOST_TEST((wire::decompress(Compressed, Value.size()) == Value));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_the_value_are_rejected) {
  constexpr std::size_t Size = 1 << 20;
  std::string Value(Size, 'x');
  std::string Compressed = wire::compress(Value);
  BOOST_TEST(!wire::decompress(Compressed, Size - 1).has_value());
  BOOST_TEST(!wire::decompress(Compressed, Size + 1).has_value());
  BOOST_TEST(!wire::decompress("no gzip at all", Size).has_value());
  // Cut off anywhere, it is rejected, unless only the checksum is missing.
  for (std::size_t Cut = 0; Cut < Compressed.size(); Cut += 97) {
    auto Result = wire::decompress(Compressed.substr(0, Cut), Size);
    BOOST_TEST((!Result || *Result == Value));
  }
  BOOST_TEST(
      !wire::decompress(Compressed.substr(0, Compressed.size() / 2), Size)
           .has_value());
}

BOOST_AUTO_TEST_SUITE_END()
