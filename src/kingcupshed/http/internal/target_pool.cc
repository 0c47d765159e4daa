#include "kingcupshed/http/internal/target_pool.h"

#include <algorithm>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/http/address.h"

namespace kingcupshed::http {

namespace {

/// Fraction of the announced keep-alive time for which a connection is reused;
/// the rest avoids requests that cross the close by the target.
constexpr double kKeepAliveFraction = 0.8;
constexpr Duration kRecentActivityWindow = std::chrono::milliseconds(250);
constexpr Duration kMinLateThreshold = std::chrono::milliseconds(400);
constexpr Duration kMaxLateThreshold = std::chrono::seconds(5);
/// A response counts as late after this multiple of the slowest recent one.
constexpr int kLateFactor = 4;
/// The kernel closes a connection whose bytes are not acknowledged in this
/// time.
constexpr int kUserTimeoutMs = 5000;
/// Fraction by which each response reduces the slowest recent response time.
constexpr double kSlowestDecay = 0.02;

using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Returns true when the connection is open and no unread bytes are waiting.
bool IsOpenWithoutData(asio::ip::tcp::socket& socket) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek,
                 error);
  return error == asio::error::would_block;
}

}  // namespace

TargetPool::Lease& TargetPool::Lease::operator=(Lease&& other) noexcept {
  std::swap(pool_, other.pool_);
  std::swap(connection_, other.connection_);
  return *this;
}

void TargetPool::Lease::ReturnToPool() {
  if (connection_ == nullptr) {
    return;
  }
  if (connection_->retired || connection_->buffer.size() > 0) {
    Close();
    return;
  }
  connection_->busy = false;
  connection_->reused = true;
  pool_->WatchIdle(*connection_);
  connection_ = nullptr;
}

void TargetPool::Lease::Close() {
  if (connection_ != nullptr) {
    pool_->Remove(*connection_);
    connection_ = nullptr;
  }
}

TargetPool::TargetPool(const asio::any_io_executor& executor,
                       PoolContext context)
    : executor_(executor), context_(std::move(context)) {}

TargetConnection* TargetPool::FindIdle(Entry& entry,
                                       ConnectionRequirement requirement,
                                       TimePoint now) {
  TargetConnection* best = nullptr;
  for (auto next = entry.connections.begin();
       next != entry.connections.end();) {
    auto here = next++;
    if (here->busy) {
      continue;
    }
    const bool usable =
        !here->retired &&
        now - here->last_active <
            FromSeconds(kKeepAliveFraction * ToSeconds(here->keep_alive)) &&
        here->last_active >= entry.suspect_since &&
        IsOpenWithoutData(here->stream.socket());
    if (!usable) {
      entry.connections.erase(here);
    } else if (best == nullptr || here->last_active > best->last_active) {
      best = &*here;
    }
  }
  const bool recently_active =
      best != nullptr && now - best->last_active < kRecentActivityWindow;
  return requirement == ConnectionRequirement::kAnyIdle || recently_active
             ? best
             : nullptr;
}

asio::awaitable<TargetPool::Lease> TargetPool::Acquire(
    TargetId target,
    ConnectionRequirement requirement,
    std::function<void(TargetConnection*)> on_connecting) {
  Entry& entry = entries_[target];
  const TimePoint now = std::chrono::steady_clock::now();
  if (requirement != ConnectionRequirement::kNew) {
    if (TargetConnection* idle = FindIdle(entry, requirement, now)) {
      idle->busy = true;
      ++*idle->idle_watch;
      boost::system::error_code ignored;
      idle->stream.socket().cancel(ignored);
      co_return Lease(*this, *idle);
    }
  }
  const auto endpoint = ParseAddress(context_.target_address(target));
  if (!endpoint) {
    co_return Lease();
  }
  if (entry.connections.size() >= context_.connection_limit(target)) {
    const auto idle = std::find_if(
        entry.connections.begin(), entry.connections.end(),
        [](const TargetConnection& connection) { return !connection.busy; });
    if (idle == entry.connections.end()) {
      co_return Lease();
    }
    entry.connections.erase(idle);
  }
  TargetConnection& connection =
      entry.connections.emplace_back(executor_, target);
  Lease lease(*this, connection);
  on_connecting(&connection);
  boost::system::error_code error;
  asio::ip::tcp::socket& socket = connection.stream.socket();
  socket.open(endpoint->protocol(), error);
  if (!error && !context_.source_address.empty()) {
    const auto source = asio::ip::make_address(context_.source_address, error);
    socket.bind({source, 0}, error);
  }
  if (error) {
    co_return Lease();
  }
  connection.stream.expires_after(context_.connect_timeout);
  co_await connection.stream.async_connect(
      *endpoint, asio::redirect_error(asio::use_awaitable, error));
  if (error) {
    co_return Lease();
  }
  connection.stream.expires_never();
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  socket.set_option(UserTimeout(kUserTimeoutMs), error);
  connection.last_active = std::chrono::steady_clock::now();
  co_return lease;
}

/// Closes an idle connection when the target closes it or sends more: no
/// response is due, and unread bytes take memory.
void TargetPool::WatchIdle(TargetConnection& connection) {
  const std::uint64_t number = ++*connection.idle_watch;
  connection.stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [this, &connection, number,
       watch = connection.idle_watch](const boost::system::error_code& error) {
        if (!error && *watch == number) {
          Remove(connection);
        }
      });
}

void TargetPool::Remove(TargetConnection& connection) {
  std::list<TargetConnection>& list = entries_[connection.target].connections;
  const auto found = std::find_if(
      list.begin(), list.end(),
      [&](const TargetConnection& other) { return &other == &connection; });
  if (found != list.end()) {
    list.erase(found);
  }
}

void TargetPool::OnResponse(TargetConnection& connection, TimePoint now) {
  connection.last_active = now;
  Entry& entry = entries_[connection.target];
  const Duration taken = now - connection.sent;
  entry.slowest_response =
      std::max(taken, Duration(static_cast<Duration::rep>(
                          static_cast<double>(entry.slowest_response.count()) *
                          (1 - kSlowestDecay))));
}

void TargetPool::Suspect(TargetId target, TimePoint sent) {
  Entry& entry = entries_[target];
  entry.suspect_since = std::max(entry.suspect_since, sent);
}

void TargetPool::RetireDeadConnections(TargetId target, TimePoint sent) {
  Entry& entry = entries_[target];
  const TimePoint now = std::chrono::steady_clock::now();
  const Duration late = LateThreshold(target);
  std::size_t count = 1;  // The late connection, which is already closed.
  for (auto next = entry.connections.begin();
       next != entry.connections.end();) {
    auto here = next++;
    const bool silent = here->last_active < sent && here->reused &&
                        (!here->busy || now - here->sent >= late);
    if (!silent || here->retired) {
      continue;
    }
    ++count;
    here->retired = true;
    // The target may be at work on the call of a busy one, which ends by
    // itself.
    if (!here->busy) {
      entry.connections.erase(here);
    }
  }
  if (context_.on_retired) {
    context_.on_retired(target, count);
  }
}

Duration TargetPool::LateThreshold(TargetId target) const {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return kMinLateThreshold;
  }
  return std::clamp(found->second.slowest_response * kLateFactor,
                    kMinLateThreshold, kMaxLateThreshold);
}

std::size_t TargetPool::size(TargetId target) const {
  const auto found = entries_.find(target);
  return found == entries_.end() ? 0 : found->second.connections.size();
}

}  // namespace kingcupshed::http
