#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "kingcupshed/once/claim_arbiter.h"
#include "kingcupshed/once/response_cache.h"

namespace kingcupshed::once {

/// Faults and sizes of one history.
struct Scenario {
  std::uint32_t seed = 1;
  std::uint32_t vms = 3;
  std::uint32_t keys = 3;
  std::uint32_t calls = 12;
  std::uint32_t lost_answer_percent = 0;
  std::uint32_t late_append_percent = 0;
  std::uint32_t kills = 0;
  std::uint32_t freezes = 0;
  Duration outage{};
  bool truncates = false;
  Limits limits;
  /// False for the naive version in which each VM knows only its own keys.
  bool shares_log = true;
};

/// What a history showed.
struct Findings {
  std::uint32_t double_runs = 0;
  /// Calls told "not run" that ran.
  std::uint32_t false_not_run = 0;
  std::uint32_t ran = 0;
  std::uint32_t not_run = 0;
  std::uint32_t unknown = 0;
  /// Calls refused because their claim was not confirmed.
  std::uint32_t refused_claims = 0;
};

/// Several VMs, a log with faults and targets that count runs, on a fake clock.
class Fleet {
 public:
  explicit Fleet(const Scenario& scenario);

  /// Runs the history to its end.
  Findings Run();

 private:
  struct Call {
    std::string key;
    bool ran = false;
    bool told_not_run = false;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    /// VM that must be awake and in this life; any when `life` is zero.
    std::uint32_t vm = 0;
    std::uint64_t life = 0;
    std::function<void()> action;
  };
  struct Vm {
    std::uint64_t life = 0;
    std::unique_ptr<ClaimArbiter> claims;
    ResponseCache answers{1000, 1U << 20U};
    std::map<Ticket, std::size_t> tickets;
    TimePoint frozen_until{};
  };
  struct Log {
    std::vector<LogRecord> records;
    std::size_t first = 0;
  };

  void At(TimePoint at,
          std::uint32_t vm,
          std::uint64_t life,
          std::function<void()> action);
  void StartVm(std::uint32_t vm);
  void Read(std::uint32_t vm);
  void Work(std::uint32_t vm);
  void Append(std::uint32_t vm, const Batch& batch);
  void Store(Log& log, const Batch& batch);
  void Decide(std::uint32_t vm, const Decision& decision);
  void RunCall(std::uint32_t vm, std::size_t call, const std::string& claim);
  void AnswerDuplicate(std::uint32_t vm,
                       std::size_t call,
                       const Decision& decision,
                       std::uint32_t tries);
  void TellNotRun(std::size_t call);
  void PlanCall(const std::string& key, Duration at);
  void PlanCalls();
  void PlanFaults();
  [[nodiscard]] bool IsDown() const;
  Log& LogOf(std::uint32_t vm);
  Duration Draw(int low_ms, int high_ms);
  bool Chance(std::uint32_t percent);

  Scenario scenario_;
  std::mt19937 random_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint start_ = now_;
  std::uint64_t order_ = 0;
  std::uint64_t lives_ = 0;
  std::multimap<std::pair<TimePoint, std::uint64_t>, Event> events_;
  std::vector<Vm> vms_;
  std::vector<Log> logs_;
  std::vector<Call> calls_;
  std::map<std::string, std::uint32_t> runs_;
  TimePoint outage_start_{};
  Findings findings_;
};

}  // namespace kingcupshed::once
