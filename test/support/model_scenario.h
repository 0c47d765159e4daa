#pragma once

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <variant>

#include <boost/test/unit_test.hpp>

#include "kingcupshed/model/scenario.h"

namespace kingcupshed::support {

/// Loads one of the example scenarios by its name.
inline model::Scenario LoadScenarioFile(const std::string& name) {
  const char* root = std::getenv("KINGCUPSHED_ROOT");
  BOOST_REQUIRE(root != nullptr);
  std::ifstream file(std::string(root) + "/examples/model/" + name + ".json");
  std::ostringstream text;
  text << file.rdbuf();
  auto parsed = model::ParseScenario(text.str());
  BOOST_REQUIRE(std::holds_alternative<model::Scenario>(parsed));
  return std::get<model::Scenario>(std::move(parsed));
}

}  // namespace kingcupshed::support
