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

BOOST_AUTO_TEST_CASE(EveryPolicyNameCreatesAPolicy) {
  for (const std::string_view name : PolicyNames()) {
    BOOST_TEST((MakePolicy(name) != nullptr), name);
  }
  BOOST_TEST((MakePolicy("none") == nullptr));
}

BOOST_AUTO_TEST_CASE(LeastOutstandingChoosesAMinimum) {
  BOOST_TEST(rc::check("least outstanding chooses a minimum", [] {
    const auto views = RandomViews();
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto chosen =
        MakePolicy("least_outstanding")->Choose(views, ChoiceContext{}, random);
    RC_ASSERT(chosen.has_value());
    for (const TargetView& view : views) {
      RC_ASSERT(views[*chosen].in_flight <= view.in_flight);
    }
  }));
}

BOOST_AUTO_TEST_CASE(RegionScanChoosesTheLowestCostOrWaits) {
  BOOST_TEST(rc::check("region scan chooses the lowest cost or waits", [] {
    const auto views = RandomViews();
    Random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto chosen = MakePolicy(kDefaultPolicy)->Choose(views, {}, random);
    const auto cost = [](const TargetView& view) {
      return view.in_flight +
             (view.distance == Distance::kSameRegion ? 0.2 : 0.0);
    };
    bool has_capacity = false;
    for (const TargetView& view : views) {
      if (view.in_flight < view.limit) {
        has_capacity = true;
        RC_ASSERT(chosen.has_value());
        RC_ASSERT(cost(views[*chosen]) <= cost(view) + 1e-9);
      }
    }
    RC_ASSERT(chosen.has_value() == has_capacity);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::routing
