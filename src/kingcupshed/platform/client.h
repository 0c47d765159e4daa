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

/// Outcome of a request to the platform.
enum class Status : std::uint8_t {
  kDone,
  /// The platform refused the request or was unreachable; nothing took effect.
  kNotDone,
  /// No complete response arrived; the request may have taken effect.
  kUnknown,
};

/// A record to append to a stream.
struct NewRecord {
  /// Unique id chosen by the writer.
  std::string id;
  std::string payload;
};

/// Result of an append.
struct AppendResult {
  Status status = Status::kNotDone;
  /// Offset of the first record appended.
  LogOffset first_offset{};
};

/// Result of a read; `page` is empty unless `status` is `kDone`.
struct ReadResult {
  Status status = Status::kNotDone;
  LogPage page;
};

/// A target as listed in the platform's store.
struct TargetEntry {
  std::string name;
  std::string service;
  std::string zone;
  std::string address;
  /// Number of calls that the target runs at once.
  std::uint32_t slots = 0;
  /// Number of connections that the target accepts from all VMs together.
  std::uint32_t connections = 0;
  bool leaving = false;
};

/// A VM as listed in the platform's store.
struct VmEntry {
  std::string name;
  std::string zone;
  /// Address for callers.
  std::string address;
  /// Address for other VMs.
  std::string peer_address;
  bool leaving = false;
};

/// Client for the load balancer's own streams and for the lists of targets and
/// VMs in the platform's store.
///
/// Each record of a stream carries an id chosen by its writer. Lists are
/// cached, and only records newer than the cache are read.
class Client {
 public:
  /// @param address Host and port of the platform.
  /// @param source Local IP address to connect from; empty to let the system
  ///   choose.
  explicit Client(std::string address, std::string source = {});

  /// Appends records to a stream atomically.
  [[nodiscard]] boost::asio::awaitable<AppendResult> Append(
      std::string stream,
      std::vector<NewRecord> records) const;

  /// Reads a stream, waiting up to `wait` for a record at `from`. If retention
  /// has already deleted records from `from` on, the page starts at the oldest
  /// one that still exists.
  /// @param timeout_margin Time after `wait` at which the read times out.
  [[nodiscard]] boost::asio::awaitable<ReadResult> Read(
      std::string stream,
      LogOffset from,
      Duration wait,
      Duration timeout_margin = std::chrono::seconds(2)) const;

  /// Returns the list of targets, or nothing if the store can't be read.
  [[nodiscard]] boost::asio::awaitable<std::optional<std::vector<TargetEntry>>>
  ListTargets() const;

  /// Returns the list of VMs, or nothing if the store can't be read.
  [[nodiscard]] boost::asio::awaitable<std::optional<std::vector<VmEntry>>>
  ListVms() const;

 private:
  /// Values of a keyed topic as of the last read.
  struct CachedTopic {
    /// Offset to read from next; nothing to list the topic again.
    std::optional<LogOffset> next_offset;
    std::map<std::string, std::string> values;
  };

  boost::asio::awaitable<bool> UpdateCache(std::string topic,
                                           CachedTopic& cache) const;

  Store store_;
  mutable CachedTopic targets_;
  mutable CachedTopic vms_;
};

}  // namespace kingcupshed::platform
