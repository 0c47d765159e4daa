#include "kingcupshed/routing/policy.h"

#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::routing {

namespace {

std::vector<TargetView> RandomViews() {
  std::vector<TargetView> views(*rc::gen::inRange<std::size_t>(1, 12));
  for (TargetView& view : views) {
    view.distance =
        *rc::gen::element(Distance::kSameZone, Distance::kSameRegion);
    view.slots = 3;
    view.in_flight = *rc::gen::inRange(0U, 6U);
    view.limit = *rc::gen::inRange(1U, 5U);
    view.stalled = *rc::gen::inRange(0U, view.in_flight + 1);
    view.report = {*rc::gen::inRange(0U, 4U), *rc::gen::inRange(0U, 5U), 3};
    view.report_age = std::chrono::milliseconds(5);
  }
  return views;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PolicyTest)

BOOST_AUTO_TEST_CASE(EveryNameMakesAPolicy) {
  for (const std::string_view name : PolicyNames()) {
    BOOST_TEST((MakePolicy(name) != nullptr), name);
  }
  BOOST_TEST((MakePolicy("none") == nullptr));
}

BOOST_AUTO_TEST_CASE(LeastOutstandingTakesAMinimum) {
  BOOST_TEST(rc::check("least outstanding takes a minimum", [] {
    const auto views = RandomViews();
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto at =
        MakePolicy("least_outstanding")->Choose(views, ChoiceContext{}, random);
    RC_ASSERT(at.has_value());
    for (const TargetView& view : views) {
      RC_ASSERT(views[*at].in_flight <= view.in_flight);
    }
  }));
}

BOOST_AUTO_TEST_CASE(RegionScanTakesTheLeastCostOrHolds) {
  BOOST_TEST(rc::check("region scan takes the least cost or holds", [] {
    const auto views = RandomViews();
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto at = MakePolicy(kDefaultPolicy)->Choose(views, {}, random);
    const auto cost = [](const TargetView& view) {
      return view.in_flight +
             (view.distance == Distance::kSameRegion ? 0.2 : 0.0);
    };
    bool open = false;
    for (const TargetView& view : views) {
      if (view.in_flight < view.limit) {
        open = true;
        RC_ASSERT(at.has_value());
        RC_ASSERT(cost(views[*at]) <= cost(view) + 1e-9);
      }
    }
    RC_ASSERT(at.has_value() == open);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::routing
