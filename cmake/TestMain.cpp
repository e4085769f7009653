/// The entry point of every test program; the tests themselves register from
/// their own files.
#define BOOST_TEST_MODULE rosemarylane
#include <boost/test/unit_test.hpp>
