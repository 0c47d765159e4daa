#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/platform/client.h"
#include "kingcupshed/table/version_log.h"

namespace kingcupshed::cli {

/// What one VM says about its table.
struct VmTable {
  platform::VmEntry vm;
  /// What the VM holds, or nothing when it did not answer.
  std::optional<table::Checkpoint> held;
  /// Whether the VM knows the whole history.
  bool exact = false;
};

/// Asks every VM of the platform's list for its table; fails with an `Error`.
[[nodiscard]] boost::leaf::result<std::vector<VmTable>> AskVms(
    const platform::Client& client,
    const std::string& platform);

/// Reads the table's stream on behalf of an operator.
class LogReader {
 public:
  /// @param platform Address of the platform.
  /// @param deadline When to give up.
  LogReader(std::string platform, TimePoint deadline);

  /// Reads to the log's end. What retention has dropped is asked of the VMs.
  [[nodiscard]] boost::leaf::result<void> ReadToEnd();

  /// Appends a publication and learns its verdict from the log; a repeat
  /// after a lost answer does no harm.
  [[nodiscard]] boost::leaf::result<table::Verdict> Publish(
      const table::Publication& publication);

  /// Returns who published a version, empty when not known.
  [[nodiscard]] std::string AuthorOf(TableVersion version) const;

  [[nodiscard]] const table::VersionLog& versions() const noexcept {
    return versions_;
  }

  [[nodiscard]] const platform::Client& client() const noexcept {
    return client_;
  }

 private:
  void Take(const LogPage& page);
  [[nodiscard]] boost::leaf::result<void> FillGap();

  std::string platform_;
  platform::Client client_;
  TimePoint deadline_;
  table::VersionLog versions_;
  std::map<TableVersion, std::string> authors_;
  std::string watched_id_;
  std::optional<table::Verdict> watched_verdict_;
};

}  // namespace kingcupshed::cli
