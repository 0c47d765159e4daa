#include "kingcupshed/model/scenario.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "support/model_scenario.h"

namespace kingcupshed::model {

BOOST_AUTO_TEST_SUITE(Scenarios)

BOOST_AUTO_TEST_CASE(AreReadWhole) {
  const Scenario scenario = support::LoadScenarioFile("norrvik-burst");
  BOOST_TEST(scenario.zones.size() == 4U);
  BOOST_REQUIRE(scenario.services.size() == 3U);
  BOOST_TEST(scenario.services[0].slots == 3U);
  BOOST_TEST(scenario.services[0].noise.factor == 5.0);
  BOOST_REQUIRE(scenario.loads.size() == 3U);
  BOOST_TEST((scenario.loads[1].semantics == table::Semantics::kAtMostOnce));
  BOOST_TEST((scenario.loads[1].objective == std::chrono::milliseconds(250)));
  BOOST_TEST(scenario.loads[2].bulk);
  BOOST_REQUIRE(scenario.troubles.size() == 2U);
  BOOST_TEST((scenario.troubles[1].kind == TroubleKind::kBurst));
}

BOOST_AUTO_TEST_CASE(EachFaultHasItsPath) {
  const auto parsed = ParseScenario(R"({
    "zones": {"z": "r"}, "vms": {"y": 1},
    "services": [{"name": "a", "slots": 0, "targets": {"z": 1}}],
    "loads": [{"name": "l", "service": "b", "work_ms": 5, "objective_ms": 9,
               "deadline_ms": 9, "rank": "high"}]})");
  const auto* faults = std::get_if<std::vector<ScenarioFault>>(&parsed);
  BOOST_REQUIRE(faults != nullptr);
  std::string paths;
  for (const ScenarioFault& fault : *faults) {
    paths += fault.path + " ";
  }
  BOOST_TEST(paths ==
             "$.vms.y $.services[0].slots $.loads[0].rank $.loads[0].service ");
}

BOOST_AUTO_TEST_CASE(TextThatIsNoJsonIsAFault) {
  const auto parsed = ParseScenario("{");
  BOOST_TEST(std::holds_alternative<std::vector<ScenarioFault>>(parsed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::model
