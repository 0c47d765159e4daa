#pragma once

namespace kingcupshed::model {

struct Scenario;
struct Outcome;
class Simulation;
class SimulatedTarget;

}  // namespace kingcupshed::model
