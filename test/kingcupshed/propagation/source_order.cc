#include "kingcupshed/propagation/source_order.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::propagation {

namespace {

using std::chrono::seconds;

const std::vector<std::string> kVms{"a", "b", "c", "d", "e"};
const std::map<std::string, std::vector<std::string>> kOtherZones{
    {"y", {"y-1", "y-2"}},
    {"z", {"z-1"}}};
constexpr TimePoint kStart{seconds(100)};

/// Returns the order of one VM of the zone `x`, which has `kVms`.
SourceOrder OrderOf(const std::string& vm) {
  auto zones = kOtherZones;
  for (const std::string& other : kVms) {
    if (other != vm) {
      zones["x"].push_back(other);
    }
  }
  SourceOrder order(vm, "x");
  order.SetVms(zones);
  return order;
}

bool IsOfZone(const std::string& vm) {
  return std::count(kVms.begin(), kVms.end(), vm) > 0;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SourceOrderTest)

BOOST_AUTO_TEST_CASE(OneVmIsHeadWhenAllAgree) {
  const std::string head = InSourceOrder(kVms).front();
  for (const std::string& vm : kVms) {
    const SourceOrder order = OrderOf(vm);
    BOOST_TEST(order.IsHead(kStart) == (vm == head));
    if (vm != head) {
      BOOST_TEST(order.Primary(kStart).value() == head);
    }
  }
}

BOOST_AUTO_TEST_CASE(VmWithoutOthersIsHead) {
  SourceOrder order("a", "x");
  BOOST_TEST(order.IsHead(kStart));
  BOOST_TEST(!order.Primary(kStart));
  BOOST_TEST(order.Fallbacks(kStart).empty());
  order.SetVms({});
  BOOST_TEST(order.IsHead(kStart));
}

BOOST_AUTO_TEST_CASE(ZonesHaveDifferentRanks) {
  std::vector<std::size_t> ranks;
  for (const std::string zone : {"x", "y", "z"}) {
    std::map<std::string, std::vector<std::string>> others{
        {"x", {"x-9"}}, {"y", {"y-9"}}, {"z", {"z-9"}}};
    SourceOrder order(zone + "-1", zone);
    order.SetVms(others);
    ranks.push_back(order.ZoneRank());
  }
  std::sort(ranks.begin(), ranks.end());
  BOOST_TEST((ranks == std::vector<std::size_t>{0, 1, 2}));
}

BOOST_AUTO_TEST_CASE(HeadTakesItsDataFromTheFirstOtherZone) {
  SourceOrder order = OrderOf(InSourceOrder(kVms).front());
  const std::string first_zone = InSourceOrder({"y", "z"}).front();
  const std::string primary = order.Primary(kStart).value();
  BOOST_TEST(primary.substr(0, 1) == first_zone);
  for (const auto& [zone, vms] : kOtherZones) {
    for (const std::string& vm : vms) {
      order.Suspect(vm, kStart);
    }
  }
  BOOST_TEST(IsOfZone(order.Primary(kStart).value()));
}

BOOST_AUTO_TEST_CASE(NextVmIsTheSourceWhileTheFirstIsSuspected) {
  const auto names = InSourceOrder(kVms);
  SourceOrder order = OrderOf(names.back());
  order.Suspect(names[0], kStart);
  BOOST_TEST(order.Primary(kStart).value() == names[1]);
  BOOST_TEST(order.Primary(kStart + seconds(4)).value() == names[0]);
}

BOOST_AUTO_TEST_CASE(VmIsHeadWhenAllBeforeItAreSuspected) {
  const auto names = InSourceOrder(kVms);
  SourceOrder order = OrderOf(names[2]);
  order.Suspect(names[0], kStart);
  BOOST_TEST(!order.IsHead(kStart));
  order.Suspect(names[1], kStart);
  BOOST_TEST(order.IsHead(kStart));
}

BOOST_AUTO_TEST_CASE(RepeatedSuspicionLastsLonger) {
  const auto names = InSourceOrder(kVms);
  SourceOrder order = OrderOf(names.back());
  order.Suspect(names[0], kStart);
  order.Suspect(names[0], kStart);
  BOOST_TEST(order.Primary(kStart + seconds(4)).value() == names[1]);
  order.ClearSuspicion(names[0]);
  BOOST_TEST(order.Primary(kStart).value() == names[0]);
}

// Neighbours in the list fail for different reasons.
BOOST_AUTO_TEST_CASE(FallbacksAlternateBetweenZones) {
  for (const std::string& vm : kVms) {
    SourceOrder order = OrderOf(vm);
    const auto primary = order.Primary(kStart);
    const auto fallbacks = order.Fallbacks(kStart);
    BOOST_REQUIRE(fallbacks.size() >= 3U);
    BOOST_TEST(!IsOfZone(fallbacks[0]));
    BOOST_TEST(IsOfZone(fallbacks[1]));
    BOOST_TEST(std::count(fallbacks.begin(), fallbacks.end(), vm) == 0);
    BOOST_TEST(std::count(fallbacks.begin(), fallbacks.end(), *primary) == 0);
    order.Suspect(fallbacks[1], kStart);
    const auto later = order.Fallbacks(kStart);
    BOOST_TEST(std::count(later.begin(), later.end(), fallbacks[1]) == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::propagation
