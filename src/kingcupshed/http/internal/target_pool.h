#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/http/internal/message.h"

namespace kingcupshed::http {

/// A connection to a target.
struct TargetConnection {
  TargetConnection(const asio::any_io_executor& executor, TargetId target)
      : stream(executor), target(target) {}
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;
  ~TargetConnection() { ++*idle_watch; }

  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxReadBufferBytes};
  TargetId target;
  /// Last time at which the connection is known to have worked.
  TimePoint last_active{};
  /// When the current request was sent.
  TimePoint sent{};
  /// How long the target keeps the connection open while it is idle.
  Duration keep_alive = std::chrono::seconds(20);
  bool reused = false;
  bool busy = true;
  /// True once the connection is assumed dead and must not be reused.
  bool retired = false;
  /// Number of the current watch while the connection is idle. It changes when
  /// the watch ends; the handler of an earlier one has nothing left to do.
  std::shared_ptr<std::uint64_t> idle_watch =
      std::make_shared<std::uint64_t>(0);
};

/// Which connections a call accepts, by how likely they still work.
enum class ConnectionRequirement : std::uint8_t {
  /// Any idle connection that is not suspected.
  kAnyIdle,
  /// An idle connection that worked a moment ago, or a new one.
  kRecentlyActive,
  /// Only a new connection.
  kNew,
};

/// Dependencies and settings of the pool.
struct PoolContext {
  std::function<std::string(TargetId)> target_address;
  /// Returns how many connections this VM may keep to a target.
  std::function<std::size_t(TargetId)> connection_limit;
  /// Local IP address of connections; empty for any.
  std::string source_address;
  /// Called with the number of connections that were closed as dead.
  std::function<void(TargetId, std::size_t count)> on_retired;
  /// Timeout for opening a connection.
  Duration connect_timeout = std::chrono::seconds(1);
};

/// Persistent connections to targets, at most a fixed number for each.
///
/// A connection that may be dead, although it was not closed, is never reused:
/// when a call on a reused connection is late and a new connection works, every
/// connection that has not worked since that call was sent is closed.
class TargetPool {
 public:
  TargetPool(const asio::any_io_executor& executor, PoolContext context);

  /// Exclusive use of a connection by one attempt; the connection is closed
  /// unless it is returned to the pool.
  class Lease {
   public:
    Lease() = default;
    Lease(TargetPool& pool, TargetConnection& connection)
        : pool_(&pool), connection_(&connection) {}
    Lease(Lease&& other) noexcept { *this = std::move(other); }
    Lease& operator=(Lease&& other) noexcept;
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    ~Lease() { Close(); }

    explicit operator bool() const noexcept { return connection_ != nullptr; }
    TargetConnection* operator->() const noexcept { return connection_; }
    TargetConnection& operator*() const noexcept { return *connection_; }

    /// Makes the connection available for further calls.
    void ReturnToPool();
    /// Closes the connection.
    void Close();

   private:
    TargetPool* pool_ = nullptr;
    TargetConnection* connection_ = nullptr;
  };

  /// Reuses an idle connection or opens a new one.
  /// @param on_connecting Called with a new connection before it is opened, so
  /// that the caller can cancel by closing it.
  /// @return An empty lease when the connection limit is reached or connecting
  /// fails.
  [[nodiscard]] asio::awaitable<Lease> Acquire(
      TargetId target,
      ConnectionRequirement requirement,
      std::function<void(TargetConnection*)> on_connecting);

  /// Records that a response was received on a connection.
  void OnResponse(TargetConnection& connection, TimePoint now);

  /// Records that a call on a reused connection is late. Connections that have
  /// not worked since the call was sent are not reused for now.
  void Suspect(TargetId target, TimePoint sent);

  /// Closes the idle connections that have not worked since a late call was
  /// sent, because a new connection responded in time. Busy ones are closed
  /// when their calls have ended.
  /// @param sent When the late call was sent.
  void RetireDeadConnections(TargetId target, TimePoint sent);

  /// Returns the time after which a call on a reused connection counts as late.
  [[nodiscard]] Duration LateThreshold(TargetId target) const;

  /// Returns the number of connections to a target, in use or idle.
  [[nodiscard]] std::size_t size(TargetId target) const;

 private:
  struct Entry {
    std::list<TargetConnection> connections;
    /// Connections that have not worked since this time are not reused.
    TimePoint suspect_since{};
    /// Time of the slowest recent response, decaying.
    Duration slowest_response{};
  };

  TargetConnection* FindIdle(Entry& entry,
                             ConnectionRequirement requirement,
                             TimePoint now);
  void WatchIdle(TargetConnection& connection);
  void Remove(TargetConnection& connection);

  asio::any_io_executor executor_;
  PoolContext context_;
  std::map<TargetId, Entry> entries_;
};

}  // namespace kingcupshed::http
