#include "kingcupshed/placement/target_model.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::placement {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kWork = milliseconds(60);

TargetProperties MakeFacts() {
  TargetProperties facts;
  facts.slots = 3;
  return facts;
}

LoadReport MakeLoad(std::uint32_t running, std::uint32_t queued, double slow) {
  LoadReport load;
  load.in_flight = running;
  load.queued = queued;
  load.slots = 3;
  load.slowdown = slow;
  return load;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Target)

BOOST_AUTO_TEST_CASE(ExpectsPlainWorkWhereSlotsAreFree) {
  ServiceModel service;
  TargetModel target(MakeFacts());
  target.Report(MakeLoad(1, 0, 1.0), kStart);
  const Estimate estimate = target.Expect(service, kWork, kStart);
  BOOST_TEST((estimate.completion == kWork));
  BOOST_TEST(estimate.backlog == 1.0);
}

BOOST_AUTO_TEST_CASE(ExpectsAWaitBehindOthers) {
  ServiceModel service;
  TargetModel target(MakeFacts());
  target.Report(MakeLoad(3, 2, 1.0), kStart);
  const Estimate estimate = target.Expect(service, kWork, kStart);
  BOOST_TEST(ToMilliseconds(estimate.completion) == 120.0);
}

BOOST_AUTO_TEST_CASE(CountsOwnCallsSentSinceTheReport) {
  ServiceModel service;
  TargetModel target(MakeFacts());
  target.Report(MakeLoad(0, 0, 1.0), kStart);
  target.Start(kStart + milliseconds(1));
  target.Start(kStart + milliseconds(2));
  const Estimate estimate =
      target.Expect(service, kWork, kStart + milliseconds(3));
  BOOST_TEST(estimate.backlog > 1.9);
}

BOOST_AUTO_TEST_CASE(ExpectsSlowTargetsToBeSlowForAWhile) {
  ServiceModel service;
  TargetModel target(MakeFacts());
  target.Report(MakeLoad(0, 0, 5.0), kStart);
  BOOST_TEST(ToMilliseconds(target.Expect(service, kWork, kStart).completion) ==
             300.0);
  BOOST_TEST(ToMilliseconds(target.Expect(service, kWork, kStart + seconds(2))
                                .completion) < 70.0);
}

BOOST_AUTO_TEST_CASE(RemembersFailuresForSeconds) {
  TargetModel target(MakeFacts());
  target.Failed(kStart, 1.0);
  target.Failed(kStart, 1.0);
  BOOST_TEST(target.failing(kStart) > 0.5);
  BOOST_TEST(target.failing(kStart + seconds(6)) < 0.2);
  target.Succeeded(kStart);
  BOOST_TEST(target.failing(kStart) < 0.5);
}

BOOST_AUTO_TEST_CASE(LeavesAnUnreachableTargetAloneLongerEachTime) {
  TargetModel target(MakeFacts());
  target.Unreachable(kStart);
  BOOST_TEST(target.avoided(kStart + milliseconds(200)));
  BOOST_TEST(!target.avoided(kStart + milliseconds(400)));
  target.Unreachable(kStart + milliseconds(400));
  BOOST_TEST(target.avoided(kStart + milliseconds(900)));
  target.Report(MakeLoad(0, 0, 1.0), kStart + milliseconds(900));
  BOOST_TEST(!target.avoided(kStart + milliseconds(900)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::placement
