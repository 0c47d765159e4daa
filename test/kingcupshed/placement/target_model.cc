#include "kingcupshed/placement/target_model.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::placement {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kWorkTime = milliseconds(60);

TargetProperties MakeProperties() {
  TargetProperties properties;
  properties.slots = 3;
  return properties;
}

LoadReport MakeLoad(std::uint32_t running,
                    std::uint32_t queued,
                    double slowdown) {
  LoadReport load;
  load.in_flight = running;
  load.queued = queued;
  load.slots = 3;
  load.slowdown = slowdown;
  return load;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TargetModelTest)

BOOST_AUTO_TEST_CASE(EstimatesTheWorkTimeWhenSlotsAreFree) {
  ServiceModel service;
  TargetModel target(MakeProperties());
  target.OnReport(MakeLoad(1, 0, 1.0), kStart);
  const Estimate estimate = target.EstimateCall(service, kWorkTime, kStart);
  BOOST_TEST((estimate.completion_time == kWorkTime));
  BOOST_TEST(estimate.backlog == 1.0);
}

BOOST_AUTO_TEST_CASE(EstimatesAWaitBehindQueuedCalls) {
  ServiceModel service;
  TargetModel target(MakeProperties());
  target.OnReport(MakeLoad(3, 2, 1.0), kStart);
  const Estimate estimate = target.EstimateCall(service, kWorkTime, kStart);
  BOOST_TEST(ToMilliseconds(estimate.completion_time) == 120.0);
}

BOOST_AUTO_TEST_CASE(CountsOwnAttemptsSentSinceTheReport) {
  ServiceModel service;
  TargetModel target(MakeProperties());
  target.OnReport(MakeLoad(0, 0, 1.0), kStart);
  target.OnAttemptStarted(kStart + milliseconds(1));
  target.OnAttemptStarted(kStart + milliseconds(2));
  const Estimate estimate =
      target.EstimateCall(service, kWorkTime, kStart + milliseconds(3));
  BOOST_TEST(estimate.backlog > 1.9);
}

// A call that a full target dropped must not count as work at that target for
// as long as its response is awaited.
BOOST_AUTO_TEST_CASE(AttemptsThatTheTargetDoesNotHaveAreNoLoad) {
  ServiceModel service;
  TargetModel target(MakeProperties());
  target.OnAttemptStarted(kStart);
  target.OnAttemptStarted(kStart + milliseconds(1));
  const TimePoint later = kStart + milliseconds(600);
  target.OnReport(MakeLoad(1, 0, 1.0), later);
  target.CheckDelivery(milliseconds(4), later);
  const Estimate estimate = target.EstimateCall(service, kWorkTime, later);
  BOOST_TEST(estimate.backlog == 1.0);
  BOOST_TEST(target.in_flight() == 2U);
}

BOOST_AUTO_TEST_CASE(EstimateForgetsAReportedSlowdownWithTime) {
  ServiceModel service;
  TargetModel target(MakeProperties());
  target.OnReport(MakeLoad(0, 0, 5.0), kStart);
  BOOST_TEST(ToMilliseconds(target.EstimateCall(service, kWorkTime, kStart)
                                .completion_time) == 300.0);
  BOOST_TEST(ToMilliseconds(
                 target.EstimateCall(service, kWorkTime, kStart + seconds(2))
                     .completion_time) < 70.0);
}

BOOST_AUTO_TEST_CASE(FailureShareDecaysOverSeconds) {
  TargetModel target(MakeProperties());
  target.OnFailure(kStart, 1.0);
  target.OnFailure(kStart, 1.0);
  BOOST_TEST(target.failure_share(kStart) > 0.5);
  BOOST_TEST(target.failure_share(kStart + seconds(6)) < 0.2);
  target.OnSuccess(kStart);
  BOOST_TEST(target.failure_share(kStart) < 0.5);
}

BOOST_AUTO_TEST_CASE(AvoidsAnUnreachableTargetLongerEachTime) {
  TargetModel target(MakeProperties());
  target.OnUnreachable(kStart);
  BOOST_TEST(target.is_avoided(kStart + milliseconds(200)));
  BOOST_TEST(!target.is_avoided(kStart + milliseconds(400)));
  target.OnUnreachable(kStart + milliseconds(400));
  BOOST_TEST(target.is_avoided(kStart + milliseconds(900)));
  target.OnReport(MakeLoad(0, 0, 1.0), kStart + milliseconds(900));
  BOOST_TEST(!target.is_avoided(kStart + milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(RetryAfterLastsNoLongerThanAMinute) {
  TargetModel target({});
  const TimePoint now{std::chrono::seconds(100)};
  BOOST_TEST((target.AvailableFrom(now) <= now));
  target.OnRetryAfter(std::chrono::seconds(2), now);
  BOOST_TEST((target.AvailableFrom(now) == now + std::chrono::seconds(2)));
  target.OnRetryAfter(std::chrono::seconds(1), now);
  BOOST_TEST((target.AvailableFrom(now) == now + std::chrono::seconds(2)));
  target.OnRetryAfter(std::chrono::hours(5), now);
  BOOST_TEST((target.AvailableFrom(now) == now + std::chrono::minutes(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::placement
