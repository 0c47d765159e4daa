#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/platform/store.h"

namespace kingcupshed::platform {

/// What became of a request to the platform.
enum class Status : std::uint8_t {
  kDone,
  /// The platform refused, or was not reached: nothing took effect.
  kNotDone,
  /// No answer came: the request may have taken effect.
  kUnknown,
};

/// A record to append.
struct NewRecord {
  std::string id;
  std::string payload;
};

/// Answer to an append.
struct AppendResult {
  Status status = Status::kNotDone;
  /// Offset of the first record appended.
  LogOffset first{};
};

/// Answer to a read.
struct ReadResult {
  Status status = Status::kNotDone;
  LogPage page;
};

/// An entry of the platform's list of targets.
struct TargetEntry {
  std::string name;
  std::string service;
  std::string zone;
  std::string address;
  std::uint32_t slots = 0;
  std::uint32_t connections = 0;
  bool leaving = false;
};

/// An entry of the platform's list of VMs.
struct VmEntry {
  std::string name;
  std::string zone;
  /// Address for callers.
  std::string address;
  std::string peer_address;
  bool leaving = false;
};

/// The product's own streams and lists in the platform's store.
///
/// A record carries an id that its writer gave it. Lists are kept and only what
/// is new is read.
class Client {
 public:
  /// @param address Host and port of the platform.
  /// @param source IP number to send from; empty for the system's choice.
  explicit Client(std::string address, std::string source = {});

  /// Appends records to a stream as one append.
  [[nodiscard]] boost::asio::awaitable<AppendResult> Append(
      std::string stream,
      std::vector<NewRecord> records) const;

  /// Reads a stream, waiting up to `wait` for a record at `from`. When records
  /// are deleted already, the page begins with the first that is kept.
  /// @param patience Time beyond `wait` after which the read is given up.
  [[nodiscard]] boost::asio::awaitable<ReadResult> Read(
      std::string stream,
      LogOffset from,
      Duration wait,
      Duration patience = std::chrono::seconds(2)) const;

  /// Fetches the list of targets, or nothing in an outage.
  [[nodiscard]] boost::asio::awaitable<std::optional<std::vector<TargetEntry>>>
  ListTargets() const;

  /// Fetches the list of VMs, or nothing in an outage.
  [[nodiscard]] boost::asio::awaitable<std::optional<std::vector<VmEntry>>>
  ListVms() const;

 private:
  /// The entries of a topic as they were last read.
  struct CachedTopic {
    std::optional<LogOffset> next;
    std::map<std::string, std::string> values;
  };

  boost::asio::awaitable<bool> Refresh(std::string topic,
                                       CachedTopic& cache) const;

  Store store_;
  mutable CachedTopic targets_;
  mutable CachedTopic vms_;
};

}  // namespace kingcupshed::platform
