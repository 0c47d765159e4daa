#include <algorithm>
#include <iostream>
#include <map>
#include <string_view>
#include <variant>
#include <vector>

#include "kingcupshed/cli/commands.h"
#include "kingcupshed/cli/files.h"
#include "kingcupshed/model/outcome.h"
#include "kingcupshed/model/scenario.h"
#include "kingcupshed/model/simulation.h"

namespace kingcupshed::cli {

namespace {

using Renderer = std::string (*)(const std::vector<model::Outcome>&);

const std::map<std::string, Renderer, std::less<>> kRenderers{
    {"text", &model::ToText},
    {"json", &model::ToJson},
    {"html", &model::ToHtml}};

/// Returns the first unknown policy, if any.
const std::string* FindUnknownPolicy(const std::vector<std::string>& policies) {
  const auto known = model::Simulation::Policies();
  for (const std::string& policy : policies) {
    if (std::find(known.begin(), known.end(), policy) == known.end()) {
      return &policy;
    }
  }
  return nullptr;
}

/// Validates the options other than the scenario file.
bool CheckOptions(const ModelOptions& options) {
  if (kRenderers.count(options.format) == 0) {
    std::cerr << "--format: " << options.format
              << " is not a format; accepted: text, json, html\n";
    return false;
  }
  if (const std::string* unknown = FindUnknownPolicy(options.policies)) {
    std::cerr << "--policy: " << *unknown << " is not a policy; accepted:";
    for (const std::string_view policy : model::Simulation::Policies()) {
      std::cerr << " " << policy;
    }
    std::cerr << "\n";
    return false;
  }
  return true;
}

}  // namespace

ExitStatus RunModel(const ModelOptions& options) {
  if (!CheckOptions(options)) {
    return ExitStatus::kBadInput;
  }
  const auto text = ReadFile(options.scenario);
  if (!text) {
    std::cerr << options.scenario << ": cannot read the scenario file\n";
    return ExitStatus::kBadInput;
  }
  const auto parsed = model::ParseScenario(*text);
  if (const auto* errors =
          std::get_if<std::vector<model::ScenarioError>>(&parsed)) {
    for (const model::ScenarioError& error : *errors) {
      std::cerr << options.scenario << ": " << error.path << ": "
                << error.message << "\n";
    }
    return ExitStatus::kBadInput;
  }
  std::vector<std::string> policies = options.policies;
  if (policies.empty()) {
    for (const std::string_view policy : model::Simulation::Policies()) {
      policies.emplace_back(policy);
    }
  }
  std::vector<model::Outcome> outcomes;
  for (const std::string& policy : policies) {
    for (std::uint32_t run = 0; run < options.runs; ++run) {
      model::Simulation simulation(std::get<model::Scenario>(parsed), policy,
                                   options.seed + run);
      outcomes.push_back(simulation.Run());
    }
  }
  std::cout << kRenderers.find(options.format)->second(outcomes);
  return ExitStatus::kSuccess;
}

}  // namespace kingcupshed::cli
