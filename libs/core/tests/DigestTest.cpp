#include "core/Digest.h"

#include <boost/test/unit_test.hpp>

using rosemarylane::core::Digest;

BOOST_AUTO_TEST_SUITE(digest)

BOOST_AUTO_TEST_CASE(hex_round_trip) {
  Digest D = Digest::of("abc");
  BOOST_TEST(D.hex() == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff"
                        "61f20015ad");
  BOOST_TEST((Digest::parse("sha256:" + D.hex()) == D));
  BOOST_TEST((Digest::fromBytes(D.bytes()) == D));
}

BOOST_AUTO_TEST_CASE(malformed_text_is_rejected) {
  BOOST_TEST(!Digest::parse("sha256:12").has_value());
  BOOST_TEST(!Digest::parse(std::string(64, 'g')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
