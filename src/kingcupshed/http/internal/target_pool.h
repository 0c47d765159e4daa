#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
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

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  TargetId target;
  /// Last instant at which the connection was seen to work.
  TimePoint proven{};
  /// When the request under way was sent.
  TimePoint sent{};
  /// Time for which the target keeps the connection open while it is idle.
  Duration keep_alive = std::chrono::seconds(20);
  bool reused = false;
  bool busy = true;
  /// True once the connection is suspected of being silent.
  bool retired = false;
};

/// How sure a call must be that its connection works.
enum class Trust : std::uint8_t {
  /// Any idle connection that is not suspect.
  kIdle,
  /// One that worked a moment ago.
  kProven,
  /// A new one.
  kFresh,
};

/// What the pool needs from the daemon.
struct PoolContext {
  std::function<std::string(TargetId)> target_address;
  /// Returns how many connections this VM may hold to a target.
  std::function<std::size_t(TargetId)> connection_limit;
  /// IP number that connections start from; empty for any.
  std::string source_address;
  /// Tells that connections were retired as silent.
  std::function<void(TargetId, std::size_t count)> on_retired;
  /// Longest wait for a new connection.
  Duration connect_timeout = std::chrono::seconds(1);
};

/// Persistent connections to targets, at most a fixed number for each.
///
/// A connection that may have gone silent is never used again: when a call on
/// an old connection is late and a new connection works, every connection that
/// has not worked since that call was sent is closed.
class TargetPool {
 public:
  TargetPool(const asio::any_io_executor& executor, PoolContext context);

  /// A connection in use by one attempt; closed unless it is kept.
  class Lease {
   public:
    Lease() = default;
    Lease(TargetPool& pool, TargetConnection& connection)
        : pool_(&pool), connection_(&connection) {}
    Lease(Lease&& other) noexcept { *this = std::move(other); }
    Lease& operator=(Lease&& other) noexcept;
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;
    ~Lease() { Drop(); }

    explicit operator bool() const noexcept { return connection_ != nullptr; }
    TargetConnection* operator->() const noexcept { return connection_; }
    TargetConnection& operator*() const noexcept { return *connection_; }

    /// Gives the connection back for further calls.
    void Keep();
    /// Closes the connection.
    void Drop();

   private:
    TargetPool* pool_ = nullptr;
    TargetConnection* connection_ = nullptr;
  };

  /// Takes or opens a connection.
  /// @param on_opening Gets the connection before it is opened, so that the
  /// caller can close it meanwhile.
  /// @return An empty lease when none can be had.
  [[nodiscard]] asio::awaitable<Lease> Acquire(
      TargetId target,
      Trust trust,
      std::function<void(TargetConnection*)> on_opening);

  /// Takes note of an answer that came on a connection.
  void NoteAnswer(TargetConnection& connection, TimePoint now);

  /// Takes note that a call on an old connection is late: connections that
  /// have not worked since it was sent are not used for now.
  void Suspect(TargetId target, TimePoint sent);

  /// A new connection answered in time: closes the connections that have not
  /// worked since a late call was sent.
  void RetireSilent(TargetId target, TimePoint sent);

  /// Returns after how long a call on an old connection counts as late.
  [[nodiscard]] Duration LateAfter(TargetId target) const;

  /// Returns the number of connections to a target, in use or idle.
  [[nodiscard]] std::size_t size(TargetId target) const;

 private:
  struct Entry {
    std::list<TargetConnection> connections;
    /// Connections that have not worked since are not used.
    TimePoint suspect_since{};
    /// Slowest recent answer, decaying.
    Duration slowest{};
  };

  TargetConnection* TakeIdle(Entry& entry, Trust trust, TimePoint now);
  void Remove(TargetConnection& connection);

  asio::any_io_executor executor_;
  PoolContext context_;
  std::map<TargetId, Entry> entries_;
};

}  // namespace kingcupshed::http
