// A planned scale-in under light load: targets leave one after the other. Rule
// DRAIN: no request may reach a target later than `drain_s` after the store has
// accepted that it is draining.
#include <random>

#include "../rig2/rig.h"

using namespace rig;

namespace {

constexpr double kDrainS = 2.5;
/// Time for which a target serves on after its report; the pages allow "many
/// seconds" beyond drain_s.
constexpr double kStayS = 10.0;
constexpr int kVms = 6;
constexpr int kTargets = 10;
constexpr int kLeaving = 6;
/// Calls a second at each VM. The platform picks a VM by the client, and one
/// client sends most of the calls.
constexpr double kCallsPerS[kVms] = {25.0, 0.6, 0.6, 0.6, 0.6, 0.6};

void Load(Bed& bed, Vm& vm, double calls_per_s, unsigned seed) {
  std::mt19937 random(seed);
  std::exponential_distribution<double> pause(calls_per_s);
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
  for (int i = 0; i < kTargets; ++i) {
    bed.AddTarget("t-" + std::to_string(i), "status", "a");
  }
  bed.StartBeats();
  bed.store.Put("keyed.op", "config",
                Config(1, "shop.example", {{"/status/", "status", "safe"}},
                       {"status"}));
  for (int i = 0; i < kVms; ++i) {
    bed.AddVm("vm-" + std::to_string(i), "a");
  }
  if (!bed.StartVms()) {
    return 2;
  }
  SleepFor(5.0);
  for (int i = 0; i < kVms; ++i) {
    bed.threads.emplace_back([&bed, &vm = *bed.vms[i], i] {
      Load(bed, vm, kCallsPerS[i], 1U + static_cast<unsigned>(i));
    });
  }
  SleepFor(6.0);
  std::mt19937 random(99);
  std::uniform_real_distribution<double> pause(0.0, 1.0);
  for (int i = 0; i < kLeaving; ++i) {
    SleepFor(pause(random));
    if (trouble) {
      bed.targets[i]->Drain();
    }
    SleepFor(kStayS);
    if (trouble) {
      bed.targets[i]->Remove();
      bed.targets[i]->gone = true;
    }
  }
  bed.stop = true;
  int late = 0;
  int served = 0;
  for (auto& target : bed.targets) {
    for (const Arrival& arrival : target->Arrivals()) {
      ++served;
      const double left = target->left_at;
      if (left > 0 && arrival.at > left + kDrainS && arrival.at < left + kStayS) {
        ++late;
        RECORD("LATE: %s reaches %s, %.3f s after its report",
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
