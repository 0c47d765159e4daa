#include "kingcupshed/model/scenario.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "support/model_scenario.h"

namespace kingcupshed::model {

BOOST_AUTO_TEST_SUITE(ScenarioTest)

BOOST_AUTO_TEST_CASE(ReadsEveryMember) {
  const Scenario scenario = support::LoadScenarioFile("norrvik-burst");
  BOOST_TEST(scenario.zones.size() == 4U);
  BOOST_REQUIRE(scenario.services.size() == 3U);
  BOOST_TEST(scenario.services[0].slots == 3U);
  BOOST_TEST(scenario.services[0].noise.factor == 5.0);
  BOOST_REQUIRE(scenario.loads.size() == 3U);
  BOOST_TEST((scenario.loads[1].semantics == table::Semantics::kAtMostOnce));
  BOOST_TEST((scenario.loads[1].objective == std::chrono::milliseconds(250)));
  BOOST_TEST(scenario.loads[2].large_responses);
  BOOST_REQUIRE(scenario.disturbances.size() == 2U);
  BOOST_TEST((scenario.disturbances[1].type == DisturbanceType::kBurst));
}

BOOST_AUTO_TEST_CASE(ErrorsCarryTheJsonPath) {
  const auto parsed = ParseScenario(R"({
    "zones": {"z": "r"}, "vms": {"y": 1},
    "services": [{"name": "a", "slots": 0, "targets": {"z": 1}}],
    "loads": [{"name": "l", "service": "b", "work_ms": 5, "objective_ms": 9,
               "deadline_ms": 9, "rank": "high"}]})");
  const auto* errors = std::get_if<std::vector<ScenarioError>>(&parsed);
  BOOST_REQUIRE(errors != nullptr);
  std::string paths;
  for (const ScenarioError& error : *errors) {
    paths += error.path + " ";
  }
  BOOST_TEST(paths ==
             "$.vms.y $.services[0].slots $.loads[0].rank $.loads[0].service ");
}

BOOST_AUTO_TEST_CASE(InvalidJsonIsAnError) {
  const auto parsed = ParseScenario("{");
  BOOST_TEST(std::holds_alternative<std::vector<ScenarioError>>(parsed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::model
