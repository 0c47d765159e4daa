#include "kingcupshed/platform/url.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::platform {

BOOST_AUTO_TEST_SUITE(Url)

BOOST_AUTO_TEST_CASE(EscapesWhatIsNoPartOfAQueryValue) {
  BOOST_TEST(EscapeQueryValue("i-7f3a91c2.b_c~d") == "i-7f3a91c2.b_c~d");
  BOOST_TEST(EscapeQueryValue("a&b+c#d%e f=g/?") ==
             "a%26b%2bc%23d%25e%20f%3dg%2f%3f");
  BOOST_TEST(EscapeQueryValue("\r\n\x7f\xff") == "%0d%0a%7f%ff");
}

BOOST_AUTO_TEST_CASE(EscapesWhatIsNoPartOfAPath) {
  BOOST_TEST(EscapePath("/health?deep=1&x=%20") == "/health?deep=1&x=%20");
  BOOST_TEST(EscapePath("/a b\r\nX: y#z\xff") == "/a%20b%0d%0aX:%20y%23z%ff");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::platform
