#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace kingcupshed::support {

/// A process that a test started; killed and waited for when it goes.
class Process {
 public:
  /// Starts a program.
  /// @param arguments Program and its arguments.
  /// @param output File that gets its standard output and error.
  Process(const std::vector<std::string>& arguments, const std::string& output);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal to this process alone.
  void Signal(int signal) const;

  /// Waits for the end of the process.
  /// @return Its exit status, or minus the signal that ended it.
  int Wait();

  [[nodiscard]] pid_t id() const noexcept { return id_; }

 private:
  pid_t id_ = 0;
};

/// Returns the path of a program that the build made.
[[nodiscard]] std::string ProgramPath(const std::string& name);

}  // namespace kingcupshed::support
