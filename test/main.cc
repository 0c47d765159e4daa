#define BOOST_TEST_MODULE kingcupshed
#include <boost/test/unit_test.hpp>
