#include "kingcupshed/model/simulation.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "support/model_scenario.h"

namespace kingcupshed::model {

namespace {

constexpr const char* kScenarios[] = {
    "norrvik-calm",  "norrvik-burst", "norrvik-trouble", "lestage-calm",
    "lestage-burst", "lestage-shed",  "vdgrind-hang",    "vdgrind-uneven"};
constexpr std::string_view kPlacer = "placer";
constexpr std::string_view kOracle = "all_seeing";

Outcome Simulate(const std::string& scenario,
                 std::string_view policy,
                 std::uint64_t seed) {
  return Simulation(support::LoadScenarioFile(scenario), policy, seed).Run();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SimulationTest)

BOOST_AUTO_TEST_CASE(SameSeedGivesSameOutcome) {
  const std::vector<Outcome> first{Simulate("norrvik-trouble", kPlacer, 3)};
  const std::vector<Outcome> same_seed{Simulate("norrvik-trouble", kPlacer, 3)};
  const std::vector<Outcome> other_seed{
      Simulate("norrvik-trouble", kPlacer, 4)};
  BOOST_TEST(ToJson(first) == ToJson(same_seed));
  BOOST_TEST(ToJson(first) != ToJson(other_seed));
}

BOOST_AUTO_TEST_CASE(CountsEveryCallerAndAllWorth) {
  for (const char* scenario : kScenarios) {
    for (const std::string_view policy : Simulation::Policies()) {
      const LoadCounts total = Simulate(scenario, policy, 1).Total();
      BOOST_TEST_CONTEXT(scenario << " " << policy) {
        BOOST_TEST(total.offered ==
                   total.in_time + total.late + total.refused + total.failed);
        double lost = 0.0;
        for (const double worth : total.lost) {
          lost += worth;
        }
        BOOST_TEST(total.offered_worth == total.earned_worth + lost,
                   boost::test_tools::tolerance(1e-6));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(UnknownPolicyThrows) {
  BOOST_CHECK_THROW(Simulate("norrvik-calm", "best", 1), std::invalid_argument);
}

// Product goal: the placer earns more than each simple policy on every
// scenario, overall and in the worst windows.
BOOST_AUTO_TEST_CASE(PlacerEarnsMoreThanSimplePolicies) {
  for (const char* scenario : kScenarios) {
    const Outcome placer = Simulate(scenario, kPlacer, 1);
    for (const std::string_view policy : Simulation::Policies()) {
      if (policy == kPlacer || policy == kOracle) {
        continue;
      }
      const Outcome simple = Simulate(scenario, policy, 1);
      BOOST_TEST_CONTEXT(scenario << " " << policy) {
        BOOST_TEST(placer.Worth() > simple.Worth());
        BOOST_TEST(placer.WorstWindows() > simple.WorstWindows());
      }
    }
  }
}

// At most 5 % of the worth that full knowledge of all targets earns may be lost
// because each VM has only a partial view.
BOOST_AUTO_TEST_CASE(PlacerEarnsNearlyAsMuchAsOracle) {
  for (const char* scenario : kScenarios) {
    const double placer = Simulate(scenario, kPlacer, 1).Worth();
    const double oracle = Simulate(scenario, kOracle, 1).Worth();
    BOOST_TEST_CONTEXT(scenario) {
      BOOST_TEST(placer >= 0.95 * oracle);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsNameEachPolicyAndLoad) {
  const std::vector<Outcome> outcomes{Simulate("lestage-calm", kPlacer, 1),
                                      Simulate("lestage-calm", "random", 1)};
  for (const std::string& report :
       {ToText(outcomes), ToHtml(outcomes), ToJson(outcomes)}) {
    for (const char* name : {"placer", "random", "lookups", "bookings"}) {
      BOOST_TEST(report.find(name) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::model
