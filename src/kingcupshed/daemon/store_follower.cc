#include "kingcupshed/daemon/store_follower.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include <absl/strings/escaping.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using platform::StoreStatus;
using propagation::Content;

/// Interval at which state is checked whose changes are not signalled.
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/// Age of the older copy that is logged as stale: twice that of a calm day.
constexpr Duration kStaleAge = std::chrono::milliseconds(1500);
/// Mean delay before a failed listing or registration is retried.
constexpr Duration kRetryDelay = std::chrono::milliseconds(400);
/// Delay of the first listing of VMs in a fleet that starts for the first time;
/// all VMs have registered by then.
constexpr Duration kInitialVmListDelay = std::chrono::milliseconds(700);
/// Interval between listings during the start: VMs start together, so they list
/// the VMs again once all have registered.
constexpr Duration kStartupVmListInterval = std::chrono::milliseconds(1200);
/// Interval between two listings of VMs. Most changes are learnt earlier, from
/// the polls of other VMs.
constexpr Duration kVmListInterval = std::chrono::seconds(60);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string InMs(Duration duration) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return std::to_string(ms.count()) + " ms";
}

const char* SignText(catalog::DepartureSign sign) {
  switch (sign) {
    case catalog::DepartureSign::kReported:
      return " reported it";
    case catalog::DepartureSign::kRemoved:
      return " was removed";
    case catalog::DepartureSign::kResponse:
      return " said so in a response";
  }
  return "";
}

}  // namespace

StoreFollower::StoreFollower(asio::io_context& io,
                             const platform::Store& store,
                             VmEndpoint self,
                             bool first_start,
                             StoreHooks hooks)
    : io_(io),
      first_start_(first_start),
      hooks_(std::move(hooks)),
      vms_(store, std::move(self), [this] { OnVmsChanged(); }),
      random_(std::hash<std::string>{}(vms_.self().vm)),
      routes_(store,
              {[this](route::RouteTable routes, const std::string& source) {
                 hooks_.on_event(
                     "routes_received",
                     "version " + std::to_string(ToIndex(routes.version)) +
                         " from " + (source.empty() ? "the store" : source));
                 hooks_.on_routes(std::move(routes));
               },
               [this] {
                 hooks_.on_event("routes_not_usable",
                                 "the active routes are kept");
               }}),
      targets_(store,
               {[this] { hooks_.on_targets(); },
                [this] {
                  hooks_.on_event(
                      "targets_not_usable",
                      "a malformed response of another VM is ignored");
                },
                [this](const std::string& key) {
                  hooks_.on_event(
                      "target_entry_ignored",
                      absl::CHexEscape(key) + "; the entry names no target");
                },
                [this](const catalog::Departure& departure) {
                  RecordDeparture(departure);
                }}),
      schedule_(vms_.self().vm, vms_.self().zone, first_start, Now()),
      exchange_(io,
                vms_,
                routes_,
                targets_,
                schedule_.current(),
                [this] { ScheduleDrive(); }),
      wake_(io) {}

bool StoreFollower::Start() {
  if (!exchange_.Listen()) {
    return false;
  }
  asio::co_spawn(io_, RegisterSelf(), asio::detached);
  asio::co_spawn(io_, PollVmList(), asio::detached);
  asio::co_spawn(io_, AdvanceCatalogPeriodically(), asio::detached);
  ScheduleDrive();
  return true;
}

void StoreFollower::Stop() {
  stopped_ = true;
  wake_.cancel();
  exchange_.Stop();
}

void StoreFollower::OnLeavingResponse(const std::string& target) {
  targets_.OnLeavingResponse(target, Now());
}

/// Carries out what is due, once everything that runs now has ended.
void StoreFollower::ScheduleDrive() {
  if (std::exchange(drive_scheduled_, true)) {
    return;
  }
  asio::post(io_, [this] {
    drive_scheduled_ = false;
    Drive();
  });
}

void StoreFollower::Drive() {
  if (stopped_) {
    return;
  }
  const TimePoint now = Now();
  RecordStaleness(now);
  exchange_.RespondToHeld(now);
  for (const propagation::Action& action : schedule_.Advance(now)) {
    Carry(action);
  }
  if (auto vm = exchange_.NextFetch(now)) {
    asio::co_spawn(io_, FetchRoutes(*std::move(vm)), asio::detached);
  }
  const TimePoint next = schedule_.NextWake();
  wake_.expires_at(std::min(next, exchange_.NextWake().value_or(next)));
  wake_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      ScheduleDrive();
    }
  });
}

void StoreFollower::Carry(const propagation::Action& action) {
  if (const auto* poll = std::get_if<propagation::PollVm>(&action)) {
    asio::co_spawn(io_, Poll(*poll), asio::detached);
    return;
  }
  const Content content = std::get<propagation::ReadStore>(action).content;
  asio::co_spawn(io_,
                 content == Content::kRoutes ? ReadRoutes() : ReadTargets(),
                 asio::detached);
}

asio::awaitable<void> StoreFollower::ReadRoutes() {
  const TimePoint sent_at = Now();
  const TopicRead read = co_await routes_.Read();
  const bool failed =
      read.status != StoreStatus::kDone && read.status != StoreStatus::kExpired;
  if (failed) {
    hooks_.on_event("routes_read_failed",
                    "after " + InMs(Now() - sent_at) + "; routes known to be " +
                        "complete " + AgeText(Content::kRoutes) + " ago");
  }
  EndRead(Content::kRoutes, read, sent_at);
}

asio::awaitable<void> StoreFollower::ReadTargets() {
  const TimePoint sent_at = Now();
  const TopicRead read = co_await targets_.Read();
  const bool reachable =
      read.status == StoreStatus::kDone || read.status == StoreStatus::kExpired;
  if (reachable != std::exchange(store_reachable_, reachable)) {
    hooks_.on_event(reachable ? "store_regained" : "store_lost",
                    "read of targets took " + InMs(Now() - sent_at));
  }
  EndRead(Content::kTargets, read, sent_at);
}

void StoreFollower::EndRead(Content content,
                            const TopicRead& read,
                            TimePoint sent_at) {
  if (read.complete) {
    RecordCurrent(content, sent_at);
  }
  const bool succeeded =
      read.status == StoreStatus::kDone || read.status == StoreStatus::kExpired;
  schedule_.OnReadEnded(content, succeeded, Now());
  ScheduleDrive();
}

asio::awaitable<void> StoreFollower::Poll(propagation::PollVm poll) {
  const std::string vm = poll.vm;
  const auto response = co_await exchange_.Poll(std::move(poll));
  if (!response) {
    schedule_.OnPollFailed(vm, Now());
    ScheduleDrive();
    co_return;
  }
  for (const Content content : propagation::kContents) {
    if (const auto at = response->proved.Of(content)) {
      RecordCurrent(content, *at);
    }
  }
  schedule_.OnPollResponded(vm, response->provider, Now());
  ScheduleDrive();
}

asio::awaitable<void> StoreFollower::FetchRoutes(std::string vm) {
  co_await exchange_.FetchRoutes(std::move(vm));
  ScheduleDrive();
}

/// Records that a copy is known to have been complete at an instant, and how
/// old it had become.
void StoreFollower::RecordCurrent(Content content, TimePoint at) {
  const auto before = schedule_.current().Of(content);
  if (before && at > *before) {
    copy_ages_[static_cast<std::size_t>(content)].Add(Now() - *before);
  }
  schedule_.OnCurrent(content, at);
}

/// Logs when the copies get older than on a calm day, and when they are no
/// longer.
void StoreFollower::RecordStaleness(TimePoint now) {
  const auto current = schedule_.current().Earliest();
  const bool stale = current && now - *current > kStaleAge;
  if (stale == std::exchange(stale_, stale)) {
    return;
  }
  hooks_.on_event(stale ? "sources_stale" : "sources_fresh",
                  "routes known to be complete " + AgeText(Content::kRoutes) +
                      " ago, targets " + AgeText(Content::kTargets) + " ago; " +
                      schedule_.Describe(now));
}

std::string StoreFollower::AgeText(Content content) const {
  const auto at = schedule_.current().Of(content);
  return at ? InMs(Now() - *at) : "never";
}

void StoreFollower::RecordDeparture(const catalog::Departure& departure) {
  hooks_.on_event("target_leaving", departure.name + SignText(departure.sign) +
                                        "; targets known to be complete " +
                                        AgeText(Content::kTargets) + " ago");
}

/// Completes removals that were delayed to let targets register again.
asio::awaitable<void> StoreFollower::AdvanceCatalogPeriodically() {
  for (;;) {
    co_await Sleep(kCheckInterval);
    targets_.Advance(Now());
  }
}

asio::awaitable<void> StoreFollower::Sleep(Duration duration) {
  asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

Duration StoreFollower::RetryDelay() {
  return FromSeconds((0.5 + random_.Unit()) * ToSeconds(kRetryDelay));
}

/// Registers this VM in the store, unless the store already has the same entry
/// from an earlier incarnation.
asio::awaitable<void> StoreFollower::RegisterSelf() {
  while (!first_start_ && !vms_.listed()) {
    co_await Sleep(kCheckInterval);
  }
  while (!vms_.registered()) {
    const StoreStatus status = co_await vms_.RegisterSelf();
    if (status != StoreStatus::kDone) {
      co_await Sleep(RetryDelay());
    }
  }
}

asio::awaitable<void> StoreFollower::PollVmList() {
  Duration delay = first_start_ ? kInitialVmListDelay : Duration::zero();
  for (;;) {
    co_await Sleep(
        FromSeconds((0.9 + 0.2 * random_.Unit()) * ToSeconds(delay)));
    // VMs that are not heads receive the list from the VM that they poll.
    const bool again = vms_.listed();
    if (again && !schedule_.IsHead(Now())) {
      delay = kStartupVmListInterval;
      continue;
    }
    const StoreStatus status = co_await vms_.ReadList();
    if (status != StoreStatus::kDone) {
      delay = RetryDelay();
      continue;
    }
    schedule_.OnVmsListed(Now());
    ScheduleDrive();
    delay = again ? kVmListInterval : kStartupVmListInterval;
  }
}

void StoreFollower::OnVmsChanged() {
  const auto others = vms_.NamesByZone();
  schedule_.SetVms(others);
  hooks_.on_vms(others);
  ScheduleDrive();
}

}  // namespace kingcupshed::daemon
