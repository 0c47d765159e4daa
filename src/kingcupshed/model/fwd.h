#pragma once

namespace kingcupshed::model {

struct Scenario;
struct Outcome;
class Simulation;
class TargetSim;

}  // namespace kingcupshed::model
