#pragma once

namespace kingcupshed::target {

enum class HealthState : unsigned char;
struct Group;
struct Member;
struct TargetInfo;
class ConcurrencyLimit;
class Evidence;
class Health;
class LatencyEstimate;
class Pool;

}  // namespace kingcupshed::target
