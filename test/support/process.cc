#include "support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <cstdlib>
#include <stdexcept>

extern char** environ;

namespace kingcupshed::support {

Process::Process(const std::vector<std::string>& arguments,
                 const std::string& output) {
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  constexpr mode_t kMode = 0600;
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failed = posix_spawn(&id_, pointers.front(), &actions, nullptr,
                                 pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) {
    throw std::runtime_error("the program " + arguments.front() +
                             " could not be started");
  }
}

Process::~Process() {
  if (id_ != 0) {
    Signal(SIGKILL);
    (void)Wait();
  }
}

void Process::Signal(int signal) const {
  if (id_ != 0) {
    kill(id_, signal);
  }
}

int Process::Wait() {
  int status = 0;
  if (id_ == 0 || waitpid(id_, &status, 0) != id_) {
    return -1;
  }
  id_ = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string ProgramPath(const std::string& name) {
  const char* folder = std::getenv("KINGCUPSHED_BIN");
  return std::string(folder != nullptr ? folder : "build") + "/" + name;
}

}  // namespace kingcupshed::support
