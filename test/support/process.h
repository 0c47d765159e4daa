#pragma once

#include <csignal>
#include <filesystem>
#include <string>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::support {

/// A process that a test started; ended when the test ends.
class Process {
 public:
  /// Starts a program.
  /// @param command Path of the program and its arguments.
  /// @param output File that gets its standard output and error.
  Process(const std::vector<std::string>& command,
          const std::filesystem::path& output) {
    std::vector<char*> arguments;
    for (const std::string& argument : command) {
      arguments.push_back(const_cast<char*>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    BOOST_REQUIRE_EQUAL(posix_spawn(&id_, arguments[0], &actions, nullptr,
                                    arguments.data(), environ),
                        0);
    posix_spawn_file_actions_destroy(&actions);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (running_) {
      Signal(SIGKILL);
      Wait();
    }
  }

  /// Sends a signal.
  void Signal(int signal) const { kill(id_, signal); }

  /// Waits for the end.
  /// @return Exit status, or minus the number of the signal that ended it.
  int Wait() {
    int status = 0;
    waitpid(id_, &status, 0);
    running_ = false;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }

  [[nodiscard]] pid_t id() const noexcept { return id_; }

 private:
  pid_t id_ = 0;
  bool running_ = true;
};

}  // namespace kingcupshed::support
