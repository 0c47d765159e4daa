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

/// Part of the announced keep-alive time for which a connection is used; the
/// rest covers requests that cross the target's close.
constexpr double kKeepAlivePart = 0.8;
constexpr Duration kProvenFor = std::chrono::milliseconds(250);
constexpr Duration kLateAtLeast = std::chrono::milliseconds(400);
constexpr Duration kLateAtMost = std::chrono::seconds(5);
constexpr int kLateFactor = 4;
/// Unacknowledged bytes break a connection after this time.
constexpr int kUserTimeoutMs = 5000;
/// Each answer moves the slowest recent time this share towards its own.
constexpr double kDecay = 0.02;

using UserTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Returns true when nothing has come in and the other end has not closed.
bool IsQuiet(asio::ip::tcp::socket& socket) {
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

void TargetPool::Lease::Keep() {
  if (connection_ == nullptr) {
    return;
  }
  if (connection_->retired || connection_->buffer.size() > 0) {
    Drop();
    return;
  }
  connection_->busy = false;
  connection_->reused = true;
  connection_ = nullptr;
}

void TargetPool::Lease::Drop() {
  if (connection_ != nullptr) {
    pool_->Remove(*connection_);
    connection_ = nullptr;
  }
}

TargetPool::TargetPool(const asio::any_io_executor& executor,
                       PoolContext context)
    : executor_(executor), context_(std::move(context)) {}

TargetConnection* TargetPool::TakeIdle(Entry& entry,
                                       Trust trust,
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
        now - here->proven <
            FromSeconds(kKeepAlivePart * ToSeconds(here->keep_alive)) &&
        here->proven >= entry.suspect_since && IsQuiet(here->stream.socket());
    if (!usable) {
      entry.connections.erase(here);
    } else if (best == nullptr || here->proven > best->proven) {
      best = &*here;
    }
  }
  const bool proven = best != nullptr && now - best->proven < kProvenFor;
  return trust == Trust::kIdle || proven ? best : nullptr;
}

asio::awaitable<TargetPool::Lease> TargetPool::Acquire(
    TargetId target,
    Trust trust,
    std::function<void(TargetConnection*)> on_opening) {
  Entry& entry = entries_[target];
  const TimePoint now = std::chrono::steady_clock::now();
  if (trust != Trust::kFresh) {
    if (TargetConnection* idle = TakeIdle(entry, trust, now)) {
      idle->busy = true;
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
  on_opening(&connection);
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
  connection.proven = std::chrono::steady_clock::now();
  co_return lease;
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

void TargetPool::NoteAnswer(TargetConnection& connection, TimePoint now) {
  connection.proven = now;
  Entry& entry = entries_[connection.target];
  const Duration taken = now - connection.sent;
  entry.slowest = std::max(
      taken, Duration(static_cast<Duration::rep>(
                 static_cast<double>(entry.slowest.count()) * (1 - kDecay))));
}

void TargetPool::Suspect(TargetId target, TimePoint sent) {
  Entry& entry = entries_[target];
  entry.suspect_since = std::max(entry.suspect_since, sent);
}

void TargetPool::RetireSilent(TargetId target, TimePoint sent) {
  Entry& entry = entries_[target];
  const TimePoint now = std::chrono::steady_clock::now();
  const Duration late = LateAfter(target);
  std::size_t count = 1;  // The late connection, which is closed already.
  for (auto next = entry.connections.begin();
       next != entry.connections.end();) {
    auto here = next++;
    const bool silent = here->proven < sent && here->reused &&
                        (!here->busy || now - here->sent >= late);
    if (!silent || here->retired) {
      continue;
    }
    ++count;
    here->retired = true;
    if (here->busy) {
      here->stream.close();
    } else {
      entry.connections.erase(here);
    }
  }
  if (context_.on_retired) {
    context_.on_retired(target, count);
  }
}

Duration TargetPool::LateAfter(TargetId target) const {
  const auto found = entries_.find(target);
  if (found == entries_.end()) {
    return kLateAtLeast;
  }
  return std::clamp(found->second.slowest * kLateFactor, kLateAtLeast,
                    kLateAtMost);
}

std::size_t TargetPool::size(TargetId target) const {
  const auto found = entries_.find(target);
  return found == entries_.end() ? 0 : found->second.connections.size();
}

}  // namespace kingcupshed::http
