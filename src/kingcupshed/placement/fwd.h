#pragma once

namespace kingcupshed::placement {

struct Config;
struct RetryBudgetRule;
class Placer;
class RetryBudget;
class ServiceModel;
class TargetModel;

}  // namespace kingcupshed::placement
