#include "kingcupshed/propagation/held_requests.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::propagation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

CurrentTimes CurrentAt(TimePoint at) {
  CurrentTimes times;
  for (const Content content : kContents) {
    times.Advance(content, at);
  }
  return times;
}

struct Fixture {
  HeldRequests held;
  RequesterState requester{5, LogOffset{20}, CurrentAt(kStart)};
  ProviderState provider{5, LogOffset{20}, LogOffset{0}, CurrentAt(kStart)};

  Fixture() { held.Add(1, requester, kStart + seconds(1)); }

  bool IsDue(Duration after) {
    return !held.TakeDue(provider, kStart + after).empty();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(HeldRequestsTest, Fixture)

BOOST_AUTO_TEST_CASE(RequestIsHeldWhileNothingIsNew) {
  BOOST_TEST(!IsDue(milliseconds(900)));
  BOOST_TEST((held.NextDeadline().value() == kStart + seconds(1)));
  BOOST_TEST(IsDue(seconds(1)));
  BOOST_TEST(!held.NextDeadline());
}

BOOST_AUTO_TEST_CASE(NewVersionEndsTheWait) {
  provider.routes_version = 6;
  BOOST_TEST(IsDue(milliseconds(1)));
  BOOST_TEST(!IsDue(milliseconds(2)));
}

BOOST_AUTO_TEST_CASE(ChangeOfATargetEndsTheWait) {
  provider.targets_changed_to = LogOffset{21};
  BOOST_TEST(IsDue(milliseconds(1)));
}

// The provider restarted and can't tell which targets were removed.
BOOST_AUTO_TEST_CASE(ProviderThatDoesNotKnowAllChangesRespondsAtOnce) {
  provider.targets_complete_since = LogOffset{21};
  BOOST_TEST(IsDue(milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(NewerProofOfBothContentsEndsTheWait) {
  provider.current.Advance(Content::kTargets, kStart + milliseconds(400));
  BOOST_TEST(!IsDue(milliseconds(500)));
  provider.current.Advance(Content::kRoutes, kStart + milliseconds(400));
  BOOST_TEST(IsDue(milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(ProviderWithoutDataWaits) {
  provider = {};
  provider.routes_version = 6;
  BOOST_TEST(!IsDue(milliseconds(500)));
  BOOST_TEST(IsDue(seconds(1)));
}

BOOST_AUTO_TEST_CASE(AllRequestsAreTakenAtTheEnd) {
  held.Add(2, requester, kStart + seconds(2));
  BOOST_TEST(held.TakeAll().size() == 2U);
  BOOST_TEST(held.TakeAll().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::propagation
