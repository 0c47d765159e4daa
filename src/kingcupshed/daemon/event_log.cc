#include "kingcupshed/daemon/event_log.h"

#include <array>
#include <cstdio>
#include <utility>

#include <unistd.h>

#include "kingcupshed/timeline/event.h"

namespace kingcupshed::daemon {

namespace {

/// Enough for three lines for each call at several times the normal load of a
/// VM.
constexpr double kMaxLinesPerSecond = 600.0;
/// Number of call names kept for decisions that follow the start of the call.
constexpr std::size_t kMaxCallNames = 4096;

const char* KindOf(placement::DecisionType type) {
  switch (type) {
    case placement::DecisionType::kPlaced:
      return "call_placed";
    case placement::DecisionType::kAttemptDropped:
      return "attempt_dropped";
    case placement::DecisionType::kRefused:
      break;
  }
  return "call_not_placed";
}

std::string DecisionDetail(const placement::Decision& decision) {
  std::array<char, 320> text{};
  std::snprintf(
      text.data(), text.size(),
      "%s; waited_ms=%.1f objective_left_ms=%.1f tries=%zu searches=%u",
      decision.reason, ToMilliseconds(decision.waiting_time),
      ToMilliseconds(decision.objective_remaining), decision.attempts,
      decision.searches);
  std::string detail(text.data());
  if (!decision.target) {
    return detail;
  }
  const bool reported = decision.report_age != Duration::max();
  std::snprintf(text.data(), text.size(),
                " expected_ms=%.1f backlog=%.1f slowdown=%.2f report_age_ms=%s",
                ToMilliseconds(decision.expected_latency), decision.backlog,
                decision.slowdown,
                reported
                    ? std::to_string(
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                              decision.report_age)
                              .count())
                          .c_str()
                    : "none");
  return detail + text.data();
}

}  // namespace

EventLog::EventLog(Runtime& runtime)
    : runtime_(runtime), writer_(STDOUT_FILENO, kMaxLinesPerSecond) {
  const std::string& level = runtime_.settings.log_level;
  if (level == "warning" || level == "error") {
    return;
  }
  runtime_.recorder.SetSink([this](const timeline::Event& event) {
    writer_.Write(timeline::ToJsonLine(event),
                  std::chrono::steady_clock::now());
  });
}

void EventLog::SetCallName(CallId call, const std::string& name) {
  call_names_.emplace_hint(call_names_.end(), call, name);
  if (call_names_.size() > kMaxCallNames) {
    call_names_.erase(call_names_.begin());
  }
}

void EventLog::RecordDecision(const placement::Decision& decision) {
  timeline::Event event;
  event.part = "placement";
  event.kind = KindOf(decision.type);
  const auto name = call_names_.find(decision.call);
  event.call = name == call_names_.end() ? "" : name->second;
  event.service = runtime_.services.NameOf(decision.service);
  if (decision.target) {
    event.target = runtime_.targets.NameOf(*decision.target);
  }
  event.detail = DecisionDetail(decision);
  runtime_.Record(std::move(event));
}

void EventLog::RecordEvent(std::string part,
                           std::string kind,
                           std::string detail) {
  timeline::Event event;
  event.part = std::move(part);
  event.kind = std::move(kind);
  event.detail = std::move(detail);
  runtime_.Record(std::move(event));
}

void EventLog::RecordDroppedLines() {
  const std::uint64_t dropped = writer_.TakeDroppedCount();
  if (dropped > 0) {
    RecordEvent("log", "lines_left_out", std::to_string(dropped) + " lines");
  }
}

}  // namespace kingcupshed::daemon
