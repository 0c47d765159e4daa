#pragma once

#include <map>
#include <string>

#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/log/line_writer.h"
#include "kingcupshed/placement/placer.h"

namespace kingcupshed::daemon {

/// Writes the events of a VM to standard output as JSON lines, which
/// `kingcupshed timeline` reads.
///
/// Events have the level `info`: with the log level `warning` or `error` none
/// is written.
class EventLog {
 public:
  explicit EventLog(Runtime& runtime);

  /// Sets the name that the events of a call's placement carry.
  void SetCallName(CallId call, const std::string& name);

  /// Records a placement decision.
  void RecordDecision(const placement::Decision& decision);

  /// Records an event of the VM that is not about a single call.
  void RecordEvent(std::string part, std::string kind, std::string detail);

  /// Records how many lines were dropped since the last call, if any.
  void RecordDroppedLines();

 private:
  Runtime& runtime_;
  log::LineWriter writer_;
  std::map<CallId, std::string> call_names_;
};

}  // namespace kingcupshed::daemon
