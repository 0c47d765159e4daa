#include "kingcupshed/propagation/document_fetch.h"

#include <set>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::propagation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr std::size_t kDocument = 40'000;
/// A quarter of what the smallest links carry in a second, 10 Mbit/s.
constexpr std::size_t kQuarterOfTheLink = 312'500;

}  // namespace

BOOST_AUTO_TEST_SUITE(DocumentFetchTest)

BOOST_AUTO_TEST_CASE(OnlyNewerVersionsAreFetched) {
  DocumentFetch fetch(1);
  fetch.OnVersion(5);
  fetch.OnAnnounced("a", 5);
  BOOST_TEST(!fetch.Advance(kStart));
  fetch.OnAnnounced("a", 6);
  BOOST_TEST(fetch.Advance(kStart).value() == "a");
  BOOST_TEST(!fetch.Advance(kStart));
}

BOOST_AUTO_TEST_CASE(FetchEndsWithTheVersion) {
  DocumentFetch fetch(1);
  fetch.OnAnnounced("a", 6);
  fetch.OnAnnounced("b", 6);
  BOOST_REQUIRE(fetch.Advance(kStart));
  fetch.OnVersion(6);
  BOOST_TEST(!fetch.Advance(kStart + seconds(5)));
  BOOST_TEST(!fetch.NextWake());
}

BOOST_AUTO_TEST_CASE(AnotherVmIsAskedWhenTheFirstIsBusyFailsOrIsSlow) {
  for (const bool responded : {true, false}) {
    DocumentFetch fetch(1);
    fetch.OnAnnounced("a", 6);
    const std::string first = fetch.Advance(kStart).value();
    fetch.OnAnnounced("b", 6);
    fetch.OnEnded(first, responded, kStart);
    BOOST_TEST(fetch.Advance(kStart + milliseconds(200)).has_value());
  }
  DocumentFetch fetch(1);
  fetch.OnAnnounced("a", 6);
  fetch.OnAnnounced("b", 6);
  const std::string first = fetch.Advance(kStart).value();
  BOOST_TEST(!fetch.Advance(kStart + milliseconds(100)));
  const auto second = fetch.Advance(kStart + milliseconds(600));
  BOOST_REQUIRE(second);
  BOOST_TEST(*second != first);
}

// A VM sent the table to all of its zone at once, and filled its link for a
// second (issue 21, norrvik-gw-grown inc2).
BOOST_AUTO_TEST_CASE(VmSendsDocumentsSlowerThanItsLink) {
  DocumentPacer pacer;
  std::size_t sent = 0;
  for (int step = 0; step < 100; ++step) {
    const TimePoint now = kStart + milliseconds(10 * step);
    while (pacer.TryStart("vm-" + std::to_string(sent), kDocument, now)) {
      ++sent;
    }
  }
  BOOST_TEST(sent >= 10U);
  BOOST_TEST(sent * kDocument <= 3 * kQuarterOfTheLink + 2 * kDocument);
}

BOOST_AUTO_TEST_CASE(HoldersAreTheVmsThatHaveReceivedTheDocument) {
  DocumentPacer pacer;
  BOOST_REQUIRE(pacer.TryStart("a", kDocument, kStart));
  BOOST_TEST(pacer.Holders(kStart).empty());
  BOOST_TEST(pacer.Holders(kStart + seconds(1)).front() == "a");
  pacer.Reset();
  BOOST_TEST(pacer.Holders(kStart + seconds(1)).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::propagation
