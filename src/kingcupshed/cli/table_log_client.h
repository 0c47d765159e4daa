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

/// The table of one VM.
struct VmTable {
  platform::VmEntry vm;
  /// Active table of the VM, or nothing when it didn't respond.
  std::optional<table::Checkpoint> checkpoint;
  /// True when the VM knows the complete history of the table.
  bool history_complete = false;
};

/// Requests the table of every VM on the platform's list. VMs that don't
/// respond have no checkpoint; fails with an `Error` when the list can't be
/// read.
[[nodiscard]] boost::leaf::result<std::vector<VmTable>> FetchVmTables(
    const platform::Client& client,
    const std::string& platform);

/// Reads the log of table versions and publishes new ones for an operator.
class TableLogClient {
 public:
  /// @param platform Address of the platform.
  /// @param deadline Time after which operations fail.
  TableLogClient(std::string platform, TimePoint deadline);

  /// Reads to the end of the log. History that the log's retention has removed
  /// is requested from the VMs.
  [[nodiscard]] boost::leaf::result<void> ReadToEnd();

  /// Appends a publication to the log and returns its verdict as read from
  /// there. A retry after a lost response is harmless, as only one copy can be
  /// accepted.
  [[nodiscard]] boost::leaf::result<table::Verdict> Publish(
      const table::Publication& publication);

  /// Returns the author of a version; empty when unknown.
  [[nodiscard]] std::string AuthorOf(TableVersion version) const;

  [[nodiscard]] const table::VersionLog& versions() const noexcept {
    return versions_;
  }

  [[nodiscard]] const platform::Client& client() const noexcept {
    return client_;
  }

 private:
  void ApplyPage(const LogPage& page);
  [[nodiscard]] boost::leaf::result<void> RecoverHistoryFromVms();

  std::string platform_;
  platform::Client client_;
  TimePoint deadline_;
  table::VersionLog versions_;
  std::map<TableVersion, std::string> authors_;
  /// Record id of the publication in progress, and its verdict once read.
  std::string published_record_id_;
  std::optional<table::Verdict> publication_verdict_;
};

}  // namespace kingcupshed::cli
