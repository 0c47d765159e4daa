#pragma once

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <utility>
#include <vector>

namespace kingcupshed::support {

/// A child process of a test; killed and reaped when it goes out of scope.
class Process {
 public:
  /// Starts a program; its output is dropped.
  /// @param arguments Path of the program and its arguments.
  explicit Process(const std::vector<std::string>& arguments) : pid_(::fork()) {
    if (pid_ != 0) {
      return;
    }
    const int null = ::open("/dev/null", O_RDWR);
    ::dup2(null, STDOUT_FILENO);
    ::dup2(null, STDERR_FILENO);
    std::vector<char*> argv;
    for (const std::string& argument : arguments) {
      argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }

  ~Process() {
    if (pid_ > 0) {
      Signal(SIGKILL);
      Wait();
    }
  }

  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  Process& operator=(Process&&) = delete;

  /// Sends a signal to the process.
  void Signal(int signal) const { ::kill(pid_, signal); }

  /// Waits for the process to end.
  /// @return Its exit status, or -1 when a signal ended it.
  int Wait() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  pid_t pid_;
};

}  // namespace kingcupshed::support
