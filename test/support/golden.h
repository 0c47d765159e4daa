#pragma once

#include <string>

namespace kingcupshed::support {

/// Replays a recorded session against a dispatcher.
///
/// A session is text. `#` starts a comment. `targets 3 slots=1` and
/// `row rank=1 weight=6 queue=10 ...` define the setup. A line that starts with
/// a time in milliseconds is an event:
///
///     5 arrive 1 rank=1 deadline=100
///     9 answered 1.0 queued=2
///     9 ended 1.0 answered
///     9 abandon 1
///     9 leaving 2
///     9 back 2
///     9 wait
///
/// A line that starts with `->` is an action of the dispatcher and is ignored
/// on input.
/// @return The session with the actions that the dispatcher took.
[[nodiscard]] std::string ReplaySession(const std::string& session);

/// Returns the content of a file.
/// @param path Path relative to the root of the repository.
[[nodiscard]] std::string ReadRepositoryFile(const std::string& path);

}  // namespace kingcupshed::support
