// A drill: the store is away for a moment and comes back from a copy some
// seconds old. Well after that, the entries of two targets are removed. Rule
// DRAIN: no request may reach a target later than `drain_s` after the store has
// accepted that it is gone.
#include <random>

#include "../rig2/rig.h"

using namespace rig;

namespace {

constexpr double kDrainS = 2.5;
constexpr double kStableWindowS = 4.0;
constexpr double kCopyAgeS = 8.0;
constexpr double kAwayS = 1.0;
/// Time for which a target serves on after its entry is removed.
constexpr double kStayS = 20.0;
constexpr int kVms = 3;
constexpr int kTargets = 12;
constexpr int kLeaving = 2;
constexpr double kCallsPerVmS = 3.0;

void Load(Bed& bed, Vm& vm, unsigned seed) {
  std::mt19937 random(seed);
  std::exponential_distribution<double> pause(kCallsPerVmS);
  double next = Now();
  while (!bed.stop) {
    next += pause(random);
    SleepUntil(next);
    const std::string id = NextId();
    const auto connection = Connection::Open(vm.ip, vm.front);
    if (!connection) {
      continue;
    }
    RECORD("client sends %s to %s", id.c_str(), vm.name.c_str());
    const Answer answer = Exchange(
        *connection, RequestText("GET", "shop.example", "/status/" + id, id, 1200),
        Now() + 1.5);
    RECORD("client gets %d for %s",
           answer.complete ? answer.message.Status() : 0, id.c_str());
  }
}

}  // namespace

int main(int, char** arguments) {
  Record::Get().Open(arguments[1]);
  const bool trouble = Trouble();
  Bed bed;
  const std::string config =
      Config(1, "shop.example", {{"/status/", "status", "safe"}}, {"status"});
  for (int i = 0; i < kTargets; ++i) {
    bed.AddTarget("t-" + std::to_string(i), "status", "a");
  }
  bed.StartBeats();
  bed.store.Put("keyed.op", "config", config);
  for (int i = 0; i < kVms; ++i) {
    bed.AddVm("vm-" + std::to_string(i), "a");
  }
  if (!bed.StartVms()) {
    return 2;
  }
  for (int i = 0; i < kVms; ++i) {
    bed.threads.emplace_back([&bed, &vm = *bed.vms[i], i] {
      Load(bed, vm, 1U + static_cast<unsigned>(i));
    });
  }
  SleepFor(8.0);
  const Store::Topics copy = bed.store.Copy();
  RECORD("the copy is taken; keyed.servers ends at %zu",
         bed.store.End("keyed.servers"));
  SleepFor(kCopyAgeS);
  if (trouble) {
    RECORD("the store goes away; keyed.servers ends at %zu",
           bed.store.End("keyed.servers"));
    bed.store.SetAway(true);
  }
  SleepFor(kAwayS);
  if (trouble) {
    bed.store.Restore(copy);
    RECORD("the store is back from the copy; keyed.servers ends at %zu",
           bed.store.End("keyed.servers"));
    // What the operator and the targets wrote is written again.
    bed.store.Put("keyed.op", "config", config);
    for (auto& target : bed.targets) {
      target->Beat();
    }
  }
  SleepFor(kStableWindowS + 0.3);
  RECORD("keyed.servers ends at %zu", bed.store.End("keyed.servers"));
  for (int i = 0; i < kLeaving; ++i) {
    bed.targets[i]->Remove();
  }
  SleepFor(kStayS);
  bed.stop = true;
  int late = 0;
  int served = 0;
  for (auto& target : bed.targets) {
    for (const Arrival& arrival : target->Arrivals()) {
      ++served;
      const double left = target->left_at;
      if (left > 0 && arrival.at > left + kDrainS) {
        ++late;
        RECORD("LATE: %s reaches %s, %.3f s after its entry was removed",
               arrival.id.c_str(), target->id.c_str(), arrival.at - left);
      }
    }
  }
  RECORD("requests run: %d, later than drain_s: %d", served, late);
  std::printf("requests run: %d, later than drain_s: %d\n", served, late);
  if (served < 100) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}
