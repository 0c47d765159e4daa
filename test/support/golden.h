#pragma once

#include <string>

namespace kingcupshed::support {

/// Plays a session against a dispatcher.
///
/// A session is text: a `#` starts a comment, `targets 3 slots=1` and
/// `row rank=1 weight=6 queue=10 ...` set the scene, and lines that start with
/// a time in milliseconds are events: `5 arrive 1 rank=1 deadline=100`,
/// `9 answered 1.0 queued=2`, `9 ended 1.0 answered`, `9 abandon 1`,
/// `9 leaving 2`, `9 back 2`, `9 wait`. Lines that start with `->` are actions
/// and are left out on reading.
/// @return The session with the actions that the dispatcher took.
[[nodiscard]] std::string ReplaySession(const std::string& session);

/// Returns the text of a file below the repository's root.
[[nodiscard]] std::string ReadRepositoryFile(const std::string& path);

}  // namespace kingcupshed::support
