#include "kingcupshed/dispatch/dispatcher.h"

#include <algorithm>
#include <map>
#include <utility>

namespace kingcupshed::dispatch {

struct Dispatcher::State {
  Config config;
  std::vector<target::TargetInfo> targets;
  std::map<ServiceId, std::size_t> next;
};

Dispatcher::Dispatcher(Config config) : state_(std::make_unique<State>()) {
  state_->config = std::move(config);
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetTable(const table::Table& table,
                          Names<ServiceId>& services) {
  for (const table::Row& row : table.rows) {
    services.Intern(row.service);
  }
}

void Dispatcher::SetTargets(std::vector<target::TargetInfo> targets) {
  state_->targets = std::move(targets);
}

void Dispatcher::SetLeaving(TargetId target, bool leaving, TimePoint /*now*/) {
  for (target::TargetInfo& info : state_->targets) {
    if (info.id == target) {
      info.leaving = leaving;
    }
  }
}

std::vector<Action> Dispatcher::Handle(const Event& event, TimePoint /*now*/) {
  if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    if (ended->result == AttemptResult::kAnswered ||
        ended->result == AttemptResult::kCancelled) {
      return {};
    }
    const RefuseReason reason = ended->result == AttemptResult::kLost
                                    ? RefuseReason::kOutcomeUnknown
                                    : RefuseReason::kRefusedByTargets;
    return {RefuseCall{ended->call, reason, std::chrono::seconds(1)}};
  }
  const auto* arrived = std::get_if<CallArrived>(&event);
  if (arrived == nullptr) {
    return {};
  }
  const std::size_t count = state_->targets.size();
  std::size_t& next = state_->next[arrived->service];
  for (std::size_t tried = 0; tried < count; ++tried) {
    const target::TargetInfo& info = state_->targets[next++ % count];
    if (info.service == arrived->service && !info.leaving) {
      return {StartAttempt{arrived->call, AttemptId{0}, info.id, false}};
    }
  }
  return {RefuseCall{arrived->call, RefuseReason::kNoTarget,
                     std::chrono::seconds(1)}};
}

std::optional<TimePoint> Dispatcher::NextWake() const {
  return std::nullopt;
}

}  // namespace kingcupshed::dispatch
