#include "kingcupshed/model/simulation.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "support/model_scenario.h"

namespace kingcupshed::model {

namespace {

constexpr const char* kScenarios[] = {"norrvik-calm",    "norrvik-burst",
                                      "norrvik-trouble", "lestage-calm",
                                      "lestage-burst",   "lestage-shed"};
constexpr std::string_view kPlacer = "placer";
constexpr std::string_view kAllSeeing = "all_seeing";

Outcome Play(const std::string& scenario,
             std::string_view policy,
             std::uint64_t seed) {
  return Simulation(support::LoadScenarioFile(scenario), policy, seed).Run();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Simulations)

BOOST_AUTO_TEST_CASE(AreTheSameForTheSameSeed) {
  const std::vector<Outcome> first{Play("norrvik-trouble", kPlacer, 3)};
  const std::vector<Outcome> again{Play("norrvik-trouble", kPlacer, 3)};
  const std::vector<Outcome> other{Play("norrvik-trouble", kPlacer, 4)};
  BOOST_TEST(ToJson(first) == ToJson(again));
  BOOST_TEST(ToJson(first) != ToJson(other));
}

BOOST_AUTO_TEST_CASE(AccountForEveryCaller) {
  for (const char* scenario : kScenarios) {
    for (const std::string_view policy : Simulation::Policies()) {
      const LoadCounts total = Play(scenario, policy, 1).Total();
      BOOST_TEST_CONTEXT(scenario << " " << policy) {
        BOOST_TEST(total.offered ==
                   total.in_time + total.late + total.refused + total.failed);
        double lost = 0.0;
        for (const double worth : total.lost) {
          lost += worth;
        }
        BOOST_TEST(total.owed == total.earned + lost,
                   boost::test_tools::tolerance(1e-6));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(UnknownPoliciesAreRefused) {
  BOOST_CHECK_THROW(Play("norrvik-calm", "best", 1), std::invalid_argument);
}

// The product's aim: better than each simple policy, on every load pattern.
BOOST_AUTO_TEST_CASE(ThePlacerBeatsSimplePolicies) {
  for (const char* scenario : kScenarios) {
    const Outcome placer = Play(scenario, kPlacer, 1);
    for (const std::string_view policy : Simulation::Policies()) {
      if (policy == kPlacer || policy == kAllSeeing) {
        continue;
      }
      const Outcome simple = Play(scenario, policy, 1);
      BOOST_TEST_CONTEXT(scenario << " " << policy) {
        BOOST_TEST(placer.Worth() > simple.Worth());
        BOOST_TEST(placer.WorstWindows() > simple.WorstWindows());
      }
    }
  }
}

// No more than a twentieth of the worth may be lost to what a VM can't see.
BOOST_AUTO_TEST_CASE(ThePlacerComesNearToOneThatSeesAll) {
  for (const char* scenario : kScenarios) {
    const double placer = Play(scenario, kPlacer, 1).Worth();
    const double bound = Play(scenario, kAllSeeing, 1).Worth();
    BOOST_TEST_CONTEXT(scenario) {
      BOOST_TEST(placer >= 0.95 * bound);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsHaveEachPolicyAndLoad) {
  const std::vector<Outcome> outcomes{Play("lestage-calm", kPlacer, 1),
                                      Play("lestage-calm", "random", 1)};
  for (const std::string& report :
       {ToText(outcomes), ToHtml(outcomes), ToJson(outcomes)}) {
    for (const char* word : {"placer", "random", "lookups", "bookings"}) {
      BOOST_TEST(report.find(word) != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::model
