#include "kingcupshed/measure/prober.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(10)};
constexpr TimePoint kLater = kStart + seconds(5);

Prober MakeProber() {
  Prober prober(milliseconds(1), kStart);
  prober.Configure(ServiceId{0}, milliseconds(100), 1);
  return prober;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ProberTest)

BOOST_AUTO_TEST_CASE(TargetWithRecentContactIsNotProbed) {
  Prober prober = MakeProber();
  BOOST_TEST(
      !prober.Choose(ServiceId{0}, {{TargetId{1}, kLater, false}}, kLater));
}

BOOST_AUTO_TEST_CASE(SuspectIsProbedBeforeTargetWithoutContact) {
  Prober prober = MakeProber();
  const std::vector<ProbeCandidate> candidates{{TargetId{1}, kStart, false},
                                               {TargetId{2}, kLater, true}};
  BOOST_TEST((prober.Choose(ServiceId{0}, candidates, kLater) == TargetId{2}));
  BOOST_TEST((prober.Choose(ServiceId{0}, candidates, kLater) == TargetId{1}));
  BOOST_TEST(!prober.Choose(ServiceId{0}, candidates, kLater));
}

BOOST_AUTO_TEST_CASE(ServiceWithoutBudgetIsNotProbed) {
  Prober prober(milliseconds(1), kStart);
  BOOST_TEST(
      !prober.Choose(ServiceId{0}, {{TargetId{1}, kStart, true}}, kLater));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::measure
