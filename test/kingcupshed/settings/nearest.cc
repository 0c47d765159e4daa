#include "kingcupshed/settings/internal/nearest.h"

#include <array>
#include <string>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::settings::internal {

BOOST_AUTO_TEST_SUITE(NearestTest)

BOOST_AUTO_TEST_CASE(CountsSingleEdits) {
  BOOST_TEST(EditDistance("", "abc") == 3U);
  BOOST_TEST(EditDistance("zone", "zone") == 0U);
  BOOST_TEST(EditDistance("zoen", "zone") == 1U);
  BOOST_TEST(EditDistance("zne", "zone") == 1U);
  BOOST_TEST(EditDistance("zones", "zone") == 1U);
}

BOOST_AUTO_TEST_CASE(DistanceIsSymmetric) {
  BOOST_TEST(rc::check([](const std::string& left, const std::string& right) {
    RC_ASSERT(EditDistance(left, right) == EditDistance(right, left));
  }));
}

BOOST_AUTO_TEST_CASE(FindsNearestWord) {
  constexpr std::array<std::string_view, 3> kWords{"zone", "zones", "listen"};
  BOOST_TEST(Nearest("lisen", kWords) == "listen");
  BOOST_TEST(Nearest("zoness", kWords) == "zones");
  BOOST_TEST(Nearest("x", {}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::settings::internal
