#pragma once

namespace kingcupshed::target {

enum class HealthState : unsigned char;
struct ServiceTargets;
struct TargetInfo;
struct TargetState;
class ConcurrencyLimit;
class Health;
class LatencyEstimate;
class Pool;
class TargetStats;

}  // namespace kingcupshed::target
