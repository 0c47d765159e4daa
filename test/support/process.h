#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace kingcupshed::support {

/// A child process of a test; the destructor kills it and waits for it.
class Process {
 public:
  /// Starts a program.
  /// @param arguments Path of the program, then its arguments.
  /// @param output File that its standard output and error are appended to.
  Process(const std::vector<std::string>& arguments, const std::string& output);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal to the process, unless it was already waited for.
  void Signal(int signal) const;

  /// Waits for the process to end.
  /// @return Its exit status, or the negated number of the signal that ended
  ///   it; -1 if there is no process to wait for.
  int Wait();

  [[nodiscard]] pid_t id() const noexcept { return id_; }

 private:
  pid_t id_ = 0;
};

/// Returns the path of a program in the build directory.
[[nodiscard]] std::string ProgramPath(const std::string& name);

}  // namespace kingcupshed::support
