#include "kingcupshed/once/fleet_simulation.h"

#include <algorithm>
#include <utility>

namespace kingcupshed::once {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHistoryLength = seconds(60);
constexpr Duration kCallTimeout = seconds(2);
constexpr Duration kAppendTimeout = seconds(2);
constexpr Duration kRetention = seconds(40);
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kReadInterval = milliseconds(30);
constexpr std::uint32_t kMaxPolls = 20;

}  // namespace

FleetSimulation::FleetSimulation(const Scenario& scenario)
    : scenario_(scenario),
      random_(scenario.seed),
      logs_(scenario.shares_log ? 1 : scenario.vms) {
  for (std::uint32_t vm = 0; vm < scenario_.vms; ++vm) {
    vms_.emplace_back();
    StartVm(vm);
  }
  PlanCalls();
  PlanFaults();
}

SimulationResult FleetSimulation::Run() {
  while (!events_.empty() && now_ - start_ < kHistoryLength) {
    auto node = events_.extract(events_.begin());
    Event& event = node.mapped();
    now_ = event.at;
    if (event.incarnation != 0) {
      const Vm& vm = vms_[event.vm];
      if (vm.incarnation != event.incarnation) {
        continue;
      }
      if (now_ < vm.frozen_until) {
        Schedule(vm.frozen_until, event.vm, event.incarnation,
                 std::move(event.action));
        continue;
      }
    }
    event.action();
  }
  for (const auto& [key, runs] : runs_) {
    result_.double_runs += runs > 1 ? runs - 1 : 0;
  }
  for (const Call& call : calls_) {
    result_.false_not_run += call.reported_not_run && call.ran ? 1 : 0;
  }
  return result_;
}

void FleetSimulation::Schedule(TimePoint at,
                               std::uint32_t vm,
                               std::uint64_t incarnation,
                               std::function<void()> action) {
  const std::uint64_t order = ++order_;
  events_.emplace(std::pair(at, order),
                  Event{at, order, vm, incarnation, std::move(action)});
}

void FleetSimulation::StartVm(std::uint32_t number) {
  Vm& vm = vms_[number];
  vm.incarnation = ++incarnations_;
  vm.claims = std::make_unique<ClaimArbiter>("vm" + std::to_string(number),
                                             vm.incarnation, scenario_.limits);
  vm.responses = ResponseCache(1000, 1U << 20U);
  vm.tickets.clear();
  vm.frozen_until = {};
  Schedule(now_, number, vm.incarnation, [=, this] { Read(number); });
  Schedule(now_, number, vm.incarnation, [=, this] { Tick(number); });
}

void FleetSimulation::Read(std::uint32_t number) {
  Vm& vm = vms_[number];
  const Log& log = LogForVm(number);
  if (IsDown()) {
    vm.claims->OnReadFailed(now_);
  } else {
    LogPage page{LogOffset{log.first}, LogOffset{log.records.size()}, {}};
    const auto from =
        std::max(log.first, static_cast<std::size_t>(vm.claims->next_offset()));
    page.records.assign(log.records.begin() + static_cast<long>(from),
                        log.records.end());
    vm.claims->OnRead(page, now_);
  }
  Schedule(now_ + kReadInterval + Draw(0, 20), number, vm.incarnation,
           [=, this] { Read(number); });
}

void FleetSimulation::Tick(std::uint32_t number) {
  Vm& vm = vms_[number];
  vm.claims->OnTick(now_);
  if (const auto batch = vm.claims->TakeBatch(now_)) {
    Append(number, *batch);
  }
  for (const Decision& decision : vm.claims->TakeDecisions()) {
    Decide(number, decision);
  }
  Schedule(now_ + kTickInterval, number, vm.incarnation,
           [=, this] { Tick(number); });
}

void FleetSimulation::Append(std::uint32_t number, const Batch& batch) {
  const std::uint64_t incarnation = vms_[number].incarnation;
  const auto end = [=, this](Duration delay, AppendOutcome outcome) {
    Schedule(now_ + delay, number, incarnation, [=, this, id = batch.number] {
      vms_[number].claims->OnAppended(id, outcome, now_);
    });
  };
  if (IsDown()) {
    const bool refused = Chance(50);
    end(refused ? milliseconds(1) : kAppendTimeout,
        refused ? AppendOutcome::kNotDone : AppendOutcome::kUnknown);
    return;
  }
  if (Chance(scenario_.late_append_percent)) {
    Schedule(now_ + Draw(2'000, 8'000), 0, 0,
             [=, this] { AppendToLog(LogForVm(number), batch); });
    end(kAppendTimeout, AppendOutcome::kUnknown);
    return;
  }
  Schedule(now_ + Draw(1, 10), 0, 0,
           [=, this] { AppendToLog(LogForVm(number), batch); });
  const bool lost = Chance(scenario_.lost_response_percent);
  end(lost ? kAppendTimeout : Draw(11, 30),
      lost ? AppendOutcome::kUnknown : AppendOutcome::kDone);
}

void FleetSimulation::AppendToLog(Log& log, const Batch& batch) {
  for (LogRecord record : batch.records) {
    record.offset = LogOffset{log.records.size()};
    log.records.push_back(record);
    if (scenario_.truncates) {
      Schedule(now_ + kRetention, 0, 0, [&log, end = log.records.size()] {
        log.first = std::max(log.first, end);
      });
    }
  }
}

void FleetSimulation::Decide(std::uint32_t number, const Decision& decision) {
  Vm& vm = vms_[number];
  const std::size_t call = vm.tickets.at(decision.ticket);
  if (decision.type == Decision::Type::kRefused) {
    ++result_.refused_claims;
    ReportNotRun(call);
  } else if (decision.type == Decision::Type::kDuplicate) {
    HandleDuplicate(number, call, decision, 0);
  } else {
    vm.responses.Start(decision.claim);
    Schedule(
        now_ + Draw(0, 1'000), number, vm.incarnation,
        [=, this, claim = decision.claim] { RunCall(number, call, claim); });
  }
}

void FleetSimulation::RunCall(std::uint32_t number,
                              std::size_t call,
                              const std::string& claim) {
  Vm& vm = vms_[number];
  if (Chance(20)) {
    // No target accepted the work, so nothing ran.
    vm.responses.End(claim, RunState::kNotRun, {});
    vm.claims->Finish(claim, false);
    ReportNotRun(call);
    return;
  }
  calls_[call].ran = true;
  ++runs_[calls_[call].key];
  ++result_.ran;
  Schedule(now_ + Draw(0, 500), number, vm.incarnation, [=, this] {
    const bool known = Chance(80);
    vms_[number].responses.End(
        claim, known ? RunState::kCompleted : RunState::kOutcomeUnknown, {});
    vms_[number].claims->Finish(claim, true);
  });
}

void FleetSimulation::HandleDuplicate(std::uint32_t number,
                                      std::size_t call,
                                      const Decision& decision,
                                      std::uint32_t polls) {
  const auto owner = static_cast<std::uint32_t>(decision.owner.back() - '0');
  const bool reachable = now_ >= vms_[owner].frozen_until;
  const RunState state = reachable
                             ? vms_[owner].responses.Find(decision.claim).state
                             : RunState::kAbsent;
  if (state == RunState::kNotRun) {
    ReportNotRun(call);
  } else if (state == RunState::kRunning && polls < kMaxPolls) {
    Schedule(now_ + milliseconds(100), number, vms_[number].incarnation,
             [=, this] { HandleDuplicate(number, call, decision, polls + 1); });
  } else if (state != RunState::kCompleted) {
    ++result_.unknown;
  }
}

void FleetSimulation::ReportNotRun(std::size_t call) {
  calls_[call].reported_not_run = true;
  ++result_.not_run;
}

void FleetSimulation::PlanCalls() {
  for (std::uint32_t i = 0; i < scenario_.calls; ++i) {
    const std::string key = "key" + std::to_string(random_() % scenario_.keys);
    const Duration at = Draw(0, 15'000);
    PlanCall(key, at);
    if (Chance(50)) {
      // The load balancer or the caller sends the same key to another VM as
      // well.
      PlanCall(key, at + Draw(0, 300));
    }
  }
}

void FleetSimulation::PlanCall(const std::string& key, Duration at) {
  const auto number = static_cast<std::uint32_t>(random_() % scenario_.vms);
  const std::size_t call = calls_.size();
  calls_.push_back({key});
  Schedule(start_ + at, 0, 0, [=, this] {
    Schedule(now_, number, vms_[number].incarnation, [=, this] {
      Vm& vm = vms_[number];
      const Ticket ticket =
          vm.claims->Begin({key, 1, now_ + kCallTimeout}, now_);
      vm.tickets.emplace(ticket, call);
    });
  });
}

void FleetSimulation::PlanFaults() {
  outage_start_ = start_ + Draw(0, 10'000);
  for (std::uint32_t i = 0; i < scenario_.kills; ++i) {
    const auto number = static_cast<std::uint32_t>(random_() % scenario_.vms);
    Schedule(start_ + Draw(0, 20'000), 0, 0, [=, this] { StartVm(number); });
  }
  for (std::uint32_t i = 0; i < scenario_.freezes; ++i) {
    const auto number = static_cast<std::uint32_t>(random_() % scenario_.vms);
    const Duration length = Draw(200, 12'000);
    Schedule(start_ + Draw(0, 15'000), 0, 0,
             [=, this] { vms_[number].frozen_until = now_ + length; });
  }
}

bool FleetSimulation::IsDown() const {
  return now_ >= outage_start_ && now_ < outage_start_ + scenario_.outage;
}

FleetSimulation::Log& FleetSimulation::LogForVm(std::uint32_t vm) {
  return logs_[scenario_.shares_log ? 0 : vm];
}

Duration FleetSimulation::Draw(int low_ms, int high_ms) {
  return milliseconds(std::uniform_int_distribution(low_ms, high_ms)(random_));
}

bool FleetSimulation::Chance(std::uint32_t percent) {
  return random_() % 100 < percent;
}

}  // namespace kingcupshed::once
