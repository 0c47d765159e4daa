#include "kingcupshed/daemon/store_follower.h"

#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/log/log.h"
#include "kingcupshed/platform/documents.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using platform::KeyedPage;
using platform::StoreStatus;

constexpr std::string_view kPart = "store";
/// Longest wait of a poll for routes or VMs; the store allows 30 s.
constexpr Duration kLongPoll = std::chrono::seconds(25);
/// Time between two reads of the targets: within the time in which a leaving
/// target must get no more work, with room for a failed read.
constexpr Duration kTargetPace = std::chrono::milliseconds(1000);
/// Time after the start in which the VM can't tell a slow store from a far one.
constexpr Duration kStartTime = std::chrono::seconds(3);
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(100);
constexpr Duration kShortestBackoff = std::chrono::milliseconds(150);
constexpr Duration kBackoffSpread = std::chrono::milliseconds(300);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

StoreFollower::StoreFollower(asio::io_context& io,
                             const platform::Store& store,
                             std::string vm,
                             StoreHooks hooks)
    : io_(io),
      store_(store),
      vm_(std::move(vm)),
      hooks_(std::move(hooks)),
      random_(std::hash<std::string>{}(vm_)),
      started_(Now()) {}

void StoreFollower::Start() {
  asio::co_spawn(io_, FollowRoutes(), asio::detached);
  asio::co_spawn(io_, FollowTargets(), asio::detached);
  asio::co_spawn(io_, FollowVms(), asio::detached);
  asio::co_spawn(io_, AdvanceTargets(), asio::detached);
}

asio::awaitable<void> StoreFollower::Pause(Duration duration) {
  asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

/// Reads on from an offset, or everything when there is none yet.
asio::awaitable<KeyedPage> StoreFollower::Read(std::string topic,
                                               std::optional<LogOffset> next,
                                               Duration wait) {
  if (!next) {
    // The end that a listing names may lie beyond the records that it shows. A
    // second listing shows all that came before the end of the first.
    const KeyedPage first = co_await store_.ReadNewest(topic);
    if (first.status != StoreStatus::kDone) {
      co_return first;
    }
    KeyedPage second = co_await store_.ReadNewest(std::move(topic));
    second.next = first.next;
    co_return second;
  }
  co_return co_await store_.ReadFrom(std::move(topic), *next, wait);
}

Duration StoreFollower::Backoff() {
  return kShortestBackoff +
         FromSeconds(random_.Unit() * ToSeconds(kBackoffSpread));
}

asio::awaitable<void> StoreFollower::FollowRoutes() {
  const std::string topic(platform::kOperatorTopic);
  for (;;) {
    const KeyedPage page = co_await Read(topic, routes_next_, kLongPoll);
    if (page.status == StoreStatus::kDone) {
      TakeRoutes(page);
      routes_next_ = page.next;
      continue;
    }
    if (page.status == StoreStatus::kExpired) {
      routes_next_.reset();
      continue;
    }
    co_await Pause(Backoff());
  }
}

/// Reads the routes without waiting while a waiting poll can't be relied on.
asio::awaitable<void> StoreFollower::CheckRoutes() {
  const bool starting = Now() - started_ < kStartTime;
  if (!routes_next_ || (!starting && !health_.IsDoubtful(Now()))) {
    co_return;
  }
  const std::string topic(platform::kOperatorTopic);
  const KeyedPage page =
      co_await store_.ReadFrom(topic, *routes_next_, Duration::zero());
  if (page.status == StoreStatus::kDone) {
    TakeRoutes(page);
  }
}

void StoreFollower::TakeRoutes(const KeyedPage& page) {
  for (const platform::KeyedRecord& record : page.records) {
    if (record.key != platform::kRoutesKey || !record.value) {
      continue;
    }
    auto routes = platform::DecodeRoutes(*record.value);
    if (!routes) {
      log::Write(log::Severity::kWarning, kPart,
                 "Routes that can't be used were published; the ones in force "
                 "stay.");
      continue;
    }
    if (version_ && routes->version <= *version_) {
      continue;
    }
    version_ = routes->version;
    hooks_.on_routes(*std::move(routes));
  }
}

asio::awaitable<void> StoreFollower::FollowTargets() {
  const std::string topic(platform::kTargetTopic);
  std::optional<LogOffset> next;
  for (;;) {
    const bool whole = !next;
    const TimePoint asked = Now();
    const KeyedPage page = co_await Read(topic, next, Duration::zero());
    if (page.status == StoreStatus::kDone) {
      catalog_.NoteRead(Now());
      if (!whole) {
        health_.NoteAnswer(Now() - asked, Now());
      }
      TakeTargets(page, whole);
      next = page.next;
      co_await CheckRoutes();
      co_await Pause(FromSeconds((0.9 + 0.2 * random_.Unit()) *
                                 ToSeconds(kTargetPace)));
      continue;
    }
    if (page.status == StoreStatus::kExpired) {
      next.reset();
      continue;
    }
    catalog_.NoteOutage(Now());
    health_.NoteFailure(Now());
    co_await Pause(Backoff());
  }
}

void StoreFollower::TakeTargets(const KeyedPage& page, bool whole) {
  const TimePoint now = Now();
  std::vector<std::string> names;
  for (const platform::KeyedRecord& record : page.records) {
    names.push_back(record.key);
    if (!record.value) {
      catalog_.Remove(record.key, record.offset, now);
      continue;
    }
    auto report = platform::DecodeTarget(record.key, *record.value);
    if (report) {
      (void)catalog_.Report(*std::move(report), record.offset, now);
    }
  }
  if (whole) {
    catalog_.KeepOnly(names, page.next, now);
  }
  knows_targets_ = true;
  if (catalog_.Advance(now)) {
    hooks_.on_targets();
  }
}

/// Lets removals take effect that waited for targets to register again.
asio::awaitable<void> StoreFollower::AdvanceTargets() {
  for (;;) {
    co_await Pause(kAdvanceInterval);
    if (catalog_.Advance(Now())) {
      hooks_.on_targets();
    }
  }
}

asio::awaitable<void> StoreFollower::FollowVms() {
  const std::string topic(platform::kVmTopic);
  bool registered = false;
  std::optional<LogOffset> next;
  for (;;) {
    if (!registered) {
      const StoreStatus put = co_await store_.Put(topic, vm_, "up");
      registered = put == StoreStatus::kDone;
    }
    const KeyedPage page = co_await Read(topic, next, kLongPoll);
    if (page.status == StoreStatus::kDone) {
      TakeVms(page);
      next = page.next;
      continue;
    }
    if (page.status == StoreStatus::kExpired) {
      next.reset();
      continue;
    }
    co_await Pause(Backoff());
  }
}

void StoreFollower::TakeVms(const KeyedPage& page) {
  for (const platform::KeyedRecord& record : page.records) {
    if (record.value) {
      vms_.insert(record.key);
    } else {
      vms_.erase(record.key);
    }
  }
  hooks_.on_vms(vms_.size());
}

}  // namespace kingcupshed::daemon
