#include "kingcupshed/peer/packed.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::peer {

namespace {

constexpr std::size_t kMost = 1'000'000;

std::string Routes(int count) {
  std::string text;
  for (int at = 0; at < count; ++at) {
    text += R"({"host":"h.example","path_prefix":"/)" + std::to_string(at) +
            R"(/","service":"a","timeout_s":1.2})";
  }
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Packed)

BOOST_AUTO_TEST_CASE(ComesBackAsItWas) {
  for (const int count : {0, 1, 10, 1000}) {
    const std::string text = Routes(count);
    const auto back = Unpack(Pack(text), kMost);
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST((*back == text));
  }
}

// Zeroes pack far better than the ratio that is tried first.
BOOST_AUTO_TEST_CASE(ComesBackWhenItIsVeryRegular) {
  const std::string text(500'000, 'x');
  const auto back = Unpack(Pack(text), kMost);
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST((*back == text));
}

BOOST_AUTO_TEST_CASE(TablesOfRoutesGetAtLeastFiveTimesSmaller) {
  const std::string text = Routes(1300);
  BOOST_TEST(Pack(text).size() * 5 < text.size());
}

BOOST_AUTO_TEST_CASE(SpoiltOrLargeDocumentsAreRefused) {
  std::string packed = Pack(Routes(100));
  BOOST_TEST(!Unpack(packed, 100).has_value());
  packed.resize(packed.size() / 2);
  BOOST_TEST(!Unpack(packed, kMost).has_value());
  BOOST_TEST(!Unpack("not packed", kMost).has_value());
  BOOST_TEST(!Unpack("", kMost).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::peer
