#include "kingcupshed/once/fleet.h"

#include <algorithm>
#include <utility>

namespace kingcupshed::once {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHistory = seconds(60);
constexpr Duration kCallTimeout = seconds(2);
constexpr Duration kAppendTimeout = seconds(2);
constexpr Duration kRetention = seconds(40);
constexpr Duration kWorkInterval = milliseconds(50);
constexpr Duration kReadInterval = milliseconds(30);
constexpr std::uint32_t kMaxTries = 20;

}  // namespace

Fleet::Fleet(const Scenario& scenario)
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

Findings Fleet::Run() {
  while (!events_.empty() && now_ - start_ < kHistory) {
    auto node = events_.extract(events_.begin());
    Event& event = node.mapped();
    now_ = event.at;
    if (event.life != 0) {
      const Vm& vm = vms_[event.vm];
      if (vm.life != event.life) {
        continue;
      }
      if (now_ < vm.frozen_until) {
        At(vm.frozen_until, event.vm, event.life, std::move(event.action));
        continue;
      }
    }
    event.action();
  }
  for (const auto& [key, runs] : runs_) {
    findings_.double_runs += runs > 1 ? runs - 1 : 0;
  }
  for (const Call& call : calls_) {
    findings_.false_not_run += call.told_not_run && call.ran ? 1 : 0;
  }
  return findings_;
}

void Fleet::At(TimePoint at,
               std::uint32_t vm,
               std::uint64_t life,
               std::function<void()> action) {
  const std::uint64_t order = ++order_;
  events_.emplace(std::pair(at, order),
                  Event{at, order, vm, life, std::move(action)});
}

void Fleet::StartVm(std::uint32_t number) {
  Vm& vm = vms_[number];
  vm.life = ++lives_;
  vm.claims = std::make_unique<ClaimArbiter>("vm" + std::to_string(number),
                                             vm.life, scenario_.limits);
  vm.answers = ResponseCache(1000, 1U << 20U);
  vm.tickets.clear();
  vm.frozen_until = {};
  At(now_, number, vm.life, [=, this] { Read(number); });
  At(now_, number, vm.life, [=, this] { Work(number); });
}

void Fleet::Read(std::uint32_t number) {
  Vm& vm = vms_[number];
  const Log& log = LogOf(number);
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
  At(now_ + kReadInterval + Draw(0, 20), number, vm.life,
     [=, this] { Read(number); });
}

void Fleet::Work(std::uint32_t number) {
  Vm& vm = vms_[number];
  vm.claims->OnTick(now_);
  if (const auto batch = vm.claims->TakeBatch(now_)) {
    Append(number, *batch);
  }
  for (const Decision& decision : vm.claims->TakeDecisions()) {
    Decide(number, decision);
  }
  At(now_ + kWorkInterval, number, vm.life, [=, this] { Work(number); });
}

void Fleet::Append(std::uint32_t number, const Batch& batch) {
  const std::uint64_t life = vms_[number].life;
  const auto end = [=, this](Duration delay, AppendOutcome outcome) {
    At(now_ + delay, number, life, [=, this, id = batch.number] {
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
    At(now_ + Draw(2'000, 8'000), 0, 0,
       [=, this] { Store(LogOf(number), batch); });
    end(kAppendTimeout, AppendOutcome::kUnknown);
    return;
  }
  At(now_ + Draw(1, 10), 0, 0, [=, this] { Store(LogOf(number), batch); });
  const bool lost = Chance(scenario_.lost_answer_percent);
  end(lost ? kAppendTimeout : Draw(11, 30),
      lost ? AppendOutcome::kUnknown : AppendOutcome::kDone);
}

void Fleet::Store(Log& log, const Batch& batch) {
  for (LogRecord record : batch.records) {
    record.offset = LogOffset{log.records.size()};
    log.records.push_back(record);
    if (scenario_.truncates) {
      At(now_ + kRetention, 0, 0, [&log, end = log.records.size()] {
        log.first = std::max(log.first, end);
      });
    }
  }
}

void Fleet::Decide(std::uint32_t number, const Decision& decision) {
  Vm& vm = vms_[number];
  const std::size_t call = vm.tickets.at(decision.ticket);
  if (decision.type == Decision::Type::kRefused) {
    ++findings_.refused_claims;
    TellNotRun(call);
  } else if (decision.type == Decision::Type::kDuplicate) {
    AnswerDuplicate(number, call, decision, 0);
  } else {
    vm.answers.Start(decision.claim);
    At(now_ + Draw(0, 1'000), number, vm.life,
       [=, this, claim = decision.claim] { RunCall(number, call, claim); });
  }
}

void Fleet::RunCall(std::uint32_t number,
                    std::size_t call,
                    const std::string& claim) {
  Vm& vm = vms_[number];
  if (Chance(20)) {
    // No target took it: nothing ran.
    vm.answers.End(claim, RunState::kNotRun, {});
    vm.claims->Finish(claim, false);
    TellNotRun(call);
    return;
  }
  calls_[call].ran = true;
  ++runs_[calls_[call].key];
  ++findings_.ran;
  At(now_ + Draw(0, 500), number, vm.life, [=, this] {
    const bool known = Chance(80);
    vms_[number].answers.End(
        claim, known ? RunState::kCompleted : RunState::kOutcomeUnknown, {});
    vms_[number].claims->Finish(claim, true);
  });
}

void Fleet::AnswerDuplicate(std::uint32_t number,
                            std::size_t call,
                            const Decision& decision,
                            std::uint32_t tries) {
  const auto owner = static_cast<std::uint32_t>(decision.owner.back() - '0');
  const bool reachable = now_ >= vms_[owner].frozen_until;
  const RunState state = reachable
                             ? vms_[owner].answers.Find(decision.claim).state
                             : RunState::kAbsent;
  if (state == RunState::kNotRun) {
    TellNotRun(call);
  } else if (state == RunState::kRunning && tries < kMaxTries) {
    At(now_ + milliseconds(100), number, vms_[number].life,
       [=, this] { AnswerDuplicate(number, call, decision, tries + 1); });
  } else if (state != RunState::kCompleted) {
    ++findings_.unknown;
  }
}

void Fleet::TellNotRun(std::size_t call) {
  calls_[call].told_not_run = true;
  ++findings_.not_run;
}

void Fleet::PlanCalls() {
  for (std::uint32_t i = 0; i < scenario_.calls; ++i) {
    const std::string key = "key" + std::to_string(random_() % scenario_.keys);
    const Duration at = Draw(0, 15'000);
    PlanCall(key, at);
    if (Chance(50)) {
      // The balancer, or the caller, brings the same key elsewhere at once.
      PlanCall(key, at + Draw(0, 300));
    }
  }
}

void Fleet::PlanCall(const std::string& key, Duration at) {
  const auto number = static_cast<std::uint32_t>(random_() % scenario_.vms);
  const std::size_t call = calls_.size();
  calls_.push_back({key});
  At(start_ + at, 0, 0, [=, this] {
    At(now_, number, vms_[number].life, [=, this] {
      Vm& vm = vms_[number];
      const Ticket ticket =
          vm.claims->Begin({key, 1, now_ + kCallTimeout}, now_);
      vm.tickets.emplace(ticket, call);
    });
  });
}

void Fleet::PlanFaults() {
  outage_start_ = start_ + Draw(0, 10'000);
  for (std::uint32_t i = 0; i < scenario_.kills; ++i) {
    const auto number = static_cast<std::uint32_t>(random_() % scenario_.vms);
    At(start_ + Draw(0, 20'000), 0, 0, [=, this] { StartVm(number); });
  }
  for (std::uint32_t i = 0; i < scenario_.freezes; ++i) {
    const auto number = static_cast<std::uint32_t>(random_() % scenario_.vms);
    const Duration length = Draw(200, 12'000);
    At(start_ + Draw(0, 15'000), 0, 0,
       [=, this] { vms_[number].frozen_until = now_ + length; });
  }
}

bool Fleet::IsDown() const {
  return now_ >= outage_start_ && now_ < outage_start_ + scenario_.outage;
}

Fleet::Log& Fleet::LogOf(std::uint32_t vm) {
  return logs_[scenario_.shares_log ? 0 : vm];
}

Duration Fleet::Draw(int low_ms, int high_ms) {
  return milliseconds(std::uniform_int_distribution(low_ms, high_ms)(random_));
}

bool Fleet::Chance(std::uint32_t percent) {
  return random_() % 100 < percent;
}

}  // namespace kingcupshed::once
