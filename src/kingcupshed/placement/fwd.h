#pragma once

namespace kingcupshed::placement {

struct RetryBudgetRule;
struct Config;
class Placer;
class RetryBudget;
class ServiceModel;
class TargetModel;

}  // namespace kingcupshed::placement
