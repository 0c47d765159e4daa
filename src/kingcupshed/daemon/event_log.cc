#include "kingcupshed/daemon/event_log.h"

#include <array>
#include <cstdio>
#include <utility>

#include <unistd.h>

#include "kingcupshed/timeline/event.h"

namespace kingcupshed::daemon {

namespace {

/// Enough for three lines of each call at some times the usual load of a VM.
constexpr double kLinesPerSecond = 600.0;
/// Names kept for decisions that come after the call's start.
constexpr std::size_t kNamesKept = 4096;

std::string Facts(const placement::Decision& decision) {
  std::array<char, 320> text{};
  std::snprintf(
      text.data(), text.size(),
      "%s; waited_ms=%.1f objective_left_ms=%.1f tries=%zu searches=%u",
      decision.reason, ToMilliseconds(decision.waiting_time),
      ToMilliseconds(decision.objective_remaining), decision.attempts,
      decision.searches);
  std::string facts(text.data());
  if (!decision.target) {
    return facts;
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
  return facts + text.data();
}

}  // namespace

EventLog::EventLog(Runtime& runtime)
    : runtime_(runtime), writer_(STDOUT_FILENO, kLinesPerSecond) {
  const std::string& level = runtime_.settings.log_level;
  if (level == "warning" || level == "error") {
    return;
  }
  runtime_.recorder.SetSink([this](const timeline::Event& event) {
    writer_.Write(timeline::ToJsonLine(event),
                  std::chrono::steady_clock::now());
  });
}

void EventLog::NameCall(CallId call, const std::string& name) {
  names_.emplace_hint(names_.end(), call, name);
  if (names_.size() > kNamesKept) {
    names_.erase(names_.begin());
  }
}

void EventLog::Note(const placement::Decision& decision) {
  timeline::Event event;
  event.part = "placement";
  event.kind = decision.target ? "call_placed" : "call_not_placed";
  const auto name = names_.find(decision.call);
  event.call = name == names_.end() ? "" : name->second;
  event.service = runtime_.services.NameOf(decision.service);
  if (decision.target) {
    event.target = runtime_.targets.NameOf(*decision.target);
  }
  event.detail = Facts(decision);
  runtime_.Record(std::move(event));
}

void EventLog::Note(std::string part, std::string kind, std::string detail) {
  timeline::Event event;
  event.part = std::move(part);
  event.kind = std::move(kind);
  event.detail = std::move(detail);
  runtime_.Record(std::move(event));
}

void EventLog::ReportLeftOut() {
  const std::uint64_t left_out = writer_.TakeDroppedCount();
  if (left_out > 0) {
    Note("log", "lines_left_out", std::to_string(left_out) + " lines");
  }
}

}  // namespace kingcupshed::daemon
