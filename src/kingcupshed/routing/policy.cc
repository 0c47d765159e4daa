#include "kingcupshed/routing/policy.h"

#include <array>

#include "kingcupshed/routing/baseline.h"
#include "kingcupshed/routing/region_scan.h"

namespace kingcupshed::routing {

namespace {

struct PolicyEntry {
  std::string_view name;
  std::unique_ptr<Policy> (*make)();
};

template <typename PolicyType>
std::unique_ptr<Policy> Make() {
  return std::make_unique<PolicyType>();
}

std::unique_ptr<Policy> MakeRegionScan() {
  return std::make_unique<RegionScan>(ScanWeights{});
}

constexpr std::array<PolicyEntry, 5> kPolicies{{
    {kDefaultPolicy, &MakeRegionScan},
    {"random", &Make<RandomChoice>},
    {"round_robin", &Make<RoundRobin>},
    {"least_outstanding", &Make<LeastOutstanding>},
    {"two_choices_report", &Make<TwoChoicesOnReport>},
}};

}  // namespace

std::vector<std::string_view> PolicyNames() {
  std::vector<std::string_view> names;
  names.reserve(kPolicies.size());
  for (const PolicyEntry& entry : kPolicies) {
    names.push_back(entry.name);
  }
  return names;
}

std::unique_ptr<Policy> MakePolicy(std::string_view name) {
  for (const PolicyEntry& entry : kPolicies) {
    if (entry.name == name) {
      return entry.make();
    }
  }
  return nullptr;
}

}  // namespace kingcupshed::routing
