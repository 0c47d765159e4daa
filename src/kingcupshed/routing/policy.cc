#include "kingcupshed/routing/policy.h"

#include <array>

#include "kingcupshed/routing/baseline.h"
#include "kingcupshed/routing/region_scan.h"

namespace kingcupshed::routing {

namespace {

struct Entry {
  std::string_view name;
  std::unique_ptr<Policy> (*make)();
};

template <typename Kind>
std::unique_ptr<Policy> Make() {
  return std::make_unique<Kind>();
}

std::unique_ptr<Policy> MakeRegionScan() {
  return std::make_unique<RegionScan>(ScanWeights{});
}

constexpr std::array<Entry, 5> kEntries{{
    {kDefaultPolicy, &MakeRegionScan},
    {"random", &Make<RandomChoice>},
    {"round_robin", &Make<RoundRobin>},
    {"least_outstanding", &Make<LeastOutstanding>},
    {"two_choices_report", &Make<TwoChoicesOnReport>},
}};

}  // namespace

std::vector<std::string_view> PolicyNames() {
  std::vector<std::string_view> names;
  names.reserve(kEntries.size());
  for (const Entry& entry : kEntries) {
    names.push_back(entry.name);
  }
  return names;
}

std::unique_ptr<Policy> MakePolicy(std::string_view name) {
  for (const Entry& entry : kEntries) {
    if (entry.name == name) {
      return entry.make();
    }
  }
  return nullptr;
}

}  // namespace kingcupshed::routing
