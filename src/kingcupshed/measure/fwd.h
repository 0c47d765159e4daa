#pragma once

namespace kingcupshed::measure {

class ProbeBudget;
class Prober;

}  // namespace kingcupshed::measure
