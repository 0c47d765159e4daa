#pragma once

#include <map>
#include <string>

#include "kingcupshed/daemon/runtime.h"
#include "kingcupshed/log/line_writer.h"
#include "kingcupshed/placement/placer.h"

namespace kingcupshed::daemon {

/// Writes the events of a VM as JSON lines to standard output; `kingcupshed
/// timeline` reads them. They are of level `info`.
class EventLog {
 public:
  explicit EventLog(Runtime& runtime);

  /// Remembers the caller's name of a call, for its decisions.
  void NameCall(CallId call, const std::string& name);

  /// Records a decision of the placer.
  void Note(const placement::Decision& decision);

  /// Records what happened to the VM or what it believes.
  void Note(std::string part, std::string kind, std::string detail);

  /// Tells how many lines were left out, if any.
  void ReportLeftOut();

 private:
  Runtime& runtime_;
  log::LineWriter writer_;
  std::map<CallId, std::string> names_;
};

}  // namespace kingcupshed::daemon
