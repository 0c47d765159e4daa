#include "kingcupshed/daemon/store_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "peer.pb.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using platform::StoreStatus;

/// Maximum wait of a long poll for routes. When its connection goes silent, the
/// poll must time out, a second read succeed and the other VMs poll this one
/// within the 2.5 s in which changes become active.
constexpr Duration kRoutePollWait = std::chrono::seconds(1);
/// Age of the routes up to which a poll may wait. A poll that a change woke
/// proves only that they were current when it was sent.
constexpr Duration kMaxRouteAgeAfterPoll = std::chrono::milliseconds(1300);
/// Interval between two reads of the targets, and between two polls of the
/// reader. Both together, with margin for one failed poll, stay below the time
/// after which a leaving target must get no more work.
constexpr Duration kTargetPollInterval = std::chrono::milliseconds(900);
/// The same of a VM whose own reads fail and that others poll: their data is
/// older by one interval of each VM that it has passed.
constexpr Duration kRelayPollInterval = std::chrono::milliseconds(400);
/// Share by which the intervals of VMs differ, so that they don't poll
/// together.
constexpr double kPollIntervalSpread = 0.2;
/// Data read by another VM is fresh up to this age; when it is older, the next
/// VM is polled.
constexpr Duration kMaxFreshAge = std::chrono::milliseconds(1600);
/// A read of targets without a response after this time counts as failing: 4 ms
/// at the store, a round trip between regions and a margin. Other VMs are then
/// polled while it goes on.
constexpr Duration kOverdueRead = std::chrono::milliseconds(300);
constexpr Duration kPeerPollTimeout = std::chrono::milliseconds(300);
/// The same for a VM that has no data yet and requests all of it, at the same
/// time as other VMs of its zone.
constexpr Duration kInitialPeerPollTimeout = std::chrono::milliseconds(500);
/// Interval at which state is checked whose changes are not signalled.
constexpr Duration kCheckInterval = std::chrono::milliseconds(100);
/// Average interval between the polls of a VM whose data is stale.
constexpr Duration kStaleRetryInterval = std::chrono::milliseconds(300);
/// Average delay before a failed call to the store is retried. It doubles up to
/// 1.2 s, which leaves enough of the 4 s allowed after the store's recovery.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(300);
constexpr std::uint32_t kMaxBackoffDoublings = 2;
/// Interval between the polls of a VM that has no data yet.
constexpr Duration kStartupInterval = std::chrono::milliseconds(20);
/// Age of the data from which a failed round of polls counts as an outage of
/// the store.
constexpr Duration kOutageStaleness = std::chrono::milliseconds(2000);
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

void WritePlace(const VmEndpoint& endpoint, peer::wire::VmPlace& out) {
  out.set_vm(endpoint.vm);
  out.set_zone(endpoint.zone);
  out.set_peer_address(endpoint.peer_address);
}

VmEndpoint ReadPlace(const peer::wire::VmPlace& place) {
  return {place.vm(), place.zone(), place.peer_address()};
}

/// Returns the age in milliseconds, rounded up so that data never seems newer
/// than it is.
std::uint64_t AgeInMs(TimePoint since, TimePoint now) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(now - since).count());
}

std::string InMs(Duration duration) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  return std::to_string(ms.count()) + " ms";
}

/// Returns the age of data for the log.
std::string AgeText(std::optional<TimePoint> current_at) {
  return current_at ? InMs(Now() - *current_at) : "none";
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
      client_(io),
      server_(
          io,
          {[](const peer::wire::Gossip&, peer::wire::Gossip&) {},
           [](const peer::wire::KeptAnswerRequest&, peer::wire::KeptAnswer&) {},
           [this](const peer::wire::PublishedRequest& request,
                  peer::wire::Published& response) {
             HandleRequest(request, response);
           }}),
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
                [this](const catalog::Departure& departure) {
                  RecordDeparture(departure);
                }}),
      readers_(vms_.self().vm),
      started_at_(Now()),
      target_read_ended_(io) {}

void StoreFollower::RecordDeparture(const catalog::Departure& departure) {
  const bool reported = departure.sign == catalog::DepartureSign::kReported;
  hooks_.on_event("target_leaving",
                  departure.name + (reported ? " reported it" : " was removed") +
                      "; targets known to be current " +
                      AgeText(targets_.current_at()) + " ago");
}

bool StoreFollower::Start() {
  if (!server_.Listen(vms_.self().peer_address)) {
    return false;
  }
  asio::co_spawn(io_, FollowRoutes(), asio::detached);
  asio::co_spawn(io_, FollowTargets(), asio::detached);
  asio::co_spawn(io_, RegisterSelf(), asio::detached);
  asio::co_spawn(io_, PollVmList(), asio::detached);
  asio::co_spawn(io_, AdvanceCatalogPeriodically(), asio::detached);
  return true;
}

void StoreFollower::Stop() {
  server_.Stop();
  client_.Stop();
}

asio::awaitable<void> StoreFollower::Sleep(Duration duration) {
  asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

Duration StoreFollower::WithJitter(Duration mean) {
  return FromSeconds((0.5 + random_.Unit()) * ToSeconds(mean));
}

/// Returns the delay before the next call to the store after a failed one.
Duration StoreFollower::NextBackoff() {
  return WithJitter(kInitialBackoff *
                    (1U << std::min(store_failures_, kMaxBackoffDoublings)));
}

void StoreFollower::RecordStoreRead(bool succeeded, Duration elapsed) {
  if (succeeded != store_reachable_) {
    hooks_.on_event(succeeded ? "store_regained" : "store_lost",
                    "read of targets took " + InMs(elapsed));
  }
  store_reachable_ = succeeded;
  store_failures_ = succeeded ? 0 : store_failures_ + 1;
}

/// Returns whether this VM should read the store now.
/// @param current_at When its data was last known to be current, if it has any.
bool StoreFollower::ShouldReadNow(TimePoint now,
                                  std::optional<TimePoint> current_at) const {
  catalog::ReadConditions conditions;
  conditions.uptime = now - started_at_;
  conditions.first_start = first_start_;
  conditions.vms_listed = vms_.listed();
  conditions.peer_responded = peer_responded_;
  conditions.data_age = current_at ? now - *current_at : conditions.uptime;
  return readers_.ShouldReadNow(conditions, now);
}

asio::awaitable<void> StoreFollower::FollowRoutes() {
  for (;;) {
    const bool reader = readers_.IsReader(Now());
    const bool stale = routes_.freshness().IsStale(Now());
    if (!ShouldReadNow(Now(), routes_.freshness().last_current()) ||
        (!reader && !stale)) {
      co_await Sleep(routes_.version() == 0 ? kStartupInterval
                                            : kCheckInterval);
      continue;
    }
    const TimePoint sent_at = Now();
    const StoreStatus status = co_await routes_.Read(
        reader ? RoutePollWait(sent_at) : Duration::zero());
    if (status == StoreStatus::kDone || status == StoreStatus::kExpired) {
      continue;
    }
    hooks_.on_event("routes_read_failed",
                    "after " + InMs(Now() - sent_at) + "; routes known to be " +
                        "current " +
                        AgeText(routes_.freshness().last_current()) + " ago");
    // The poll's connection may be silent while others work, and a slow store
    // can still complete a read that doesn't wait, which has a longer timeout.
    if (!store_reachable_ || !co_await routes_.ReadWithoutWaiting()) {
      co_await Sleep(NextBackoff());
    }
  }
}

/// Returns how long a poll for routes may wait for a change.
Duration StoreFollower::RoutePollWait(TimePoint now) const {
  const auto current_at = routes_.freshness().last_current();
  const Duration age = current_at ? now - *current_at : Duration::zero();
  return std::clamp(kMaxRouteAgeAfterPoll - age, Duration::zero(),
                    kRoutePollWait);
}

asio::awaitable<void> StoreFollower::FollowTargets() {
  for (;;) {
    bool updated = false;
    if (!readers_.IsReader(Now()) || readers_.IsSelfSuspected(Now())) {
      updated = co_await PollPeers();
    }
    const bool polled = updated;
    if (!updated && !target_read_pending_ && Now() >= next_read_at_ &&
        ShouldReadNow(Now(), targets_.current_at())) {
      updated = co_await ReadTargetsUnlessOverdue();
      if (target_read_pending_) {
        continue;
      }
    }
    ReadRoutesIfPollUnreliable();
    if (updated) {
      co_await Sleep(NextUpdateDelay(polled));
    } else {
      co_await Sleep(targets_.current_at() ? WithJitter(kStaleRetryInterval)
                                           : kStartupInterval);
    }
  }
}

/// Returns the delay between an update of the targets and the next one.
/// @param polled True if the update came from another VM, with its routes.
Duration StoreFollower::NextUpdateDelay(bool polled) {
  const TimePoint now = Now();
  const bool relays = readers_.IsReader(now) && readers_.IsSelfSuspected(now);
  const Duration interval = FromSeconds(
      (1.0 - kPollIntervalSpread / 2 + kPollIntervalSpread * random_.Unit()) *
      ToSeconds(relays ? kRelayPollInterval : kTargetPollInterval));
  TimePoint current_at = *targets_.current_at();
  if (polled) {
    current_at = std::min(
        current_at, routes_.freshness().last_current().value_or(current_at));
  }
  return catalog::NextPollDelay(now - current_at, interval);
}

/// Reads the routes in parallel to a long poll that is unreliable: one that was
/// sent before the store's last disturbance, or that has gone without a
/// response for too long.
void StoreFollower::ReadRoutesIfPollUnreliable() {
  const TimePoint now = Now();
  const bool degraded = readers_.IsReader(now) && health_.IsDegraded(now);
  if (routes_.read_in_progress() &&
      (degraded || routes_.freshness().IsStale(now))) {
    asio::co_spawn(io_, routes_.ReadWithoutWaiting(), asio::detached);
  }
}

/// Reads the targets. Stops waiting when the read is overdue; the read goes on,
/// unless it is the first one, for which there is nothing to do meanwhile.
/// @return True if the read brought an update in time.
asio::awaitable<bool> StoreFollower::ReadTargetsUnlessOverdue() {
  const bool first_read = !targets_.next_offset();
  target_read_pending_ = true;
  if (first_read) {
    target_read_ended_.expires_at(asio::steady_timer::time_point::max());
  } else {
    target_read_ended_.expires_after(kOverdueRead);
  }
  asio::co_spawn(io_, ReadTargets(), asio::detached);
  if (target_read_pending_) {
    boost::system::error_code error;
    co_await target_read_ended_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  if (target_read_pending_) {
    OnTargetReadOverdue();
    co_return false;
  }
  co_return target_read_succeeded_;
}

void StoreFollower::OnTargetReadOverdue() {
  const TimePoint now = Now();
  if (!readers_.IsSelfSuspected(now)) {
    hooks_.on_event(
        "store_read_overdue",
        "no response after " + InMs(kOverdueRead) + "; other VMs are polled");
    readers_.Suspect(vms_.self().vm, now);
  }
  health_.OnFailure(now);
}

asio::awaitable<void> StoreFollower::ReadTargets() {
  target_read_succeeded_ = co_await FetchTargets();
  next_read_at_ = store_failures_ == 0 ? TimePoint{} : Now() + NextBackoff();
  target_read_pending_ = false;
  target_read_ended_.cancel();
}

/// @return True if the targets were read.
asio::awaitable<bool> StoreFollower::FetchTargets() {
  const TargetRead read = co_await targets_.Read();
  if (read.status == StoreStatus::kExpired) {
    co_return false;
  }
  RecordStoreRead(read.status == StoreStatus::kDone, read.elapsed);
  if (read.status != StoreStatus::kDone) {
    health_.OnFailure(Now());
    if (!readers_.IsSelfSuspected(Now())) {
      readers_.Suspect(vms_.self().vm, Now());
    }
    co_return false;
  }
  readers_.ClearSuspicion(vms_.self().vm);
  SuspectStalePeers();
  health_.OnResponse(read.call_time, Now());
  co_return true;
}

/// Polls other VMs for the data that they read, one after the other.
/// @return True if one of them had fresh data.
asio::awaitable<bool> StoreFollower::PollPeers() {
  stale_peers_.clear();
  round_results_.clear();
  for (const catalog::PeerPoll& poll : readers_.PollsOfRound(Now())) {
    const std::string& vm = poll.vm;
    const PollResult result = co_await PollPeer(poll);
    if (result == PollResult::kFresh) {
      readers_.ClearSuspicion(vm);
      SuspectStalePeers();
      RecordPollRound(vm);
      peer_responded_ = true;
      co_return true;
    }
    if (result == PollResult::kNoResponse) {
      readers_.Suspect(vm, Now());
    } else {
      stale_peers_.push_back(vm);
    }
  }
  RecordPollRound("");
  peer_responded_ = !stale_peers_.empty();
  if (!targets_.current_at() ||
      Now() - *targets_.current_at() > kOutageStaleness) {
    targets_.RecordOutage(Now());
  }
  co_return false;
}

/// Returns the result's name for the log.
const char* StoreFollower::PollResultName(PollResult result) {
  switch (result) {
    case PollResult::kFresh:
      return "fresh";
    case PollResult::kStale:
      return "stale";
    case PollResult::kNoData:
      return "no_data";
    case PollResult::kNoResponse:
      return "no_response";
  }
  return "";
}

/// Suspects the VMs that had stale data, now that fresh data was received from
/// elsewhere: the store is available, but they can't read it.
void StoreFollower::SuspectStalePeers() {
  for (const std::string& vm : stale_peers_) {
    readers_.Suspect(vm, Now());
  }
  stale_peers_.clear();
}

asio::awaitable<StoreFollower::PollResult> StoreFollower::PollPeer(
    catalog::PeerPoll poll) {
  const std::string& vm = poll.vm;
  const auto found = vms_.others().find(vm);
  if (found == vms_.others().end()) {
    co_return PollResult::kNoResponse;
  }
  const auto known_up_to = targets_.next_offset();
  peer::wire::PublishedRequest request;
  WritePlace(vms_.self(), *request.mutable_sender());
  request.set_targets_from(known_up_to ? ToIndex(*known_up_to) : 0);
  request.set_vms_known(vms_.others().size());
  request.set_depth(poll.depth);
  request.set_routes_version(routes_.version());
  asio::steady_timer responded(io_, asio::steady_timer::time_point::max());
  std::optional<PollResult> result;
  const TimePoint requested_at = Now();
  client_.FetchPublished(
      found->second.peer_address, request,
      known_up_to ? kPeerPollTimeout : kInitialPeerPollTimeout,
      [&](const peer::wire::Published* published) {
        result = published == nullptr ? PollResult::kNoResponse
                                      : PollResult::kNoData;
        if (published != nullptr && published->known() &&
            ApplyPublished(vm, *published, requested_at)) {
          result = JudgeFreshness(
              std::chrono::milliseconds(published->age_ms()), requested_at);
        }
        responded.cancel();
      });
  // The client always runs the callback, so the captured references stay valid
  // until then.
  while (!result) {
    boost::system::error_code error;
    co_await responded.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  if (*result == PollResult::kFresh) {
    targets_.RecordReachable(Now());
  }
  round_results_ += " " + vm + ":" + PollResultName(*result) +
                    ",targets=" + AgeText(targets_.current_at()) +
                    ",routes=" + AgeText(routes_.freshness().last_current());
  co_return *result;
}

/// Judges the data that was just received from another VM.
/// @param age Age of its targets.
/// @param requested_at When it was polled.
StoreFollower::PollResult StoreFollower::JudgeFreshness(
    Duration age,
    TimePoint requested_at) {
  const TimePoint read_at = requested_at - age;
  // The VMs behind one whose reads fail may have no other data than what they
  // got from it.
  const bool newer = !targets_.current_at() || read_at > *targets_.current_at();
  targets_.RecordCurrent(read_at);
  const bool fresh = age <= kMaxFreshAge &&
                     (newer || !readers_.IsSelfSuspected(requested_at)) &&
                     !routes_.freshness().IsStale(requested_at);
  return fresh ? PollResult::kFresh : PollResult::kStale;
}

/// Logs when the polled VMs stop having fresh data, and when one has it again.
/// @param fresh_source The VM that had it; empty if none had.
void StoreFollower::RecordPollRound(const std::string& fresh_source) {
  const bool stale = fresh_source.empty();
  if (stale != sources_stale_) {
    hooks_.on_event(stale ? "sources_stale" : "sources_fresh",
                    "polled" + round_results_);
  }
  sources_stale_ = stale;
}

/// Applies the data received from another VM.
/// @param vm Name of the other VM.
/// @param requested_at When the other VM was polled.
/// @return False if the response is malformed.
bool StoreFollower::ApplyPublished(const std::string& vm,
                                   const peer::wire::Published& published,
                                   TimePoint requested_at) {
  if (!targets_.ApplyFromPeer(published)) {
    return false;
  }
  PeerRoutes routes{published.routes_version(), published.routes(), {}};
  if (published.has_routes_age_ms()) {
    routes.current_at =
        requested_at - std::chrono::milliseconds(published.routes_age_ms());
  }
  routes_.ApplyFromPeer(vm, routes);
  for (const peer::wire::VmPlace& place : published.vms()) {
    vms_.Update(ReadPlace(place));
  }
  return true;
}

/// Handles the poll of another VM: responds with the data of this VM, which
/// keeps reading the store for the other one.
void StoreFollower::HandleRequest(const peer::wire::PublishedRequest& request,
                                  peer::wire::Published& response) {
  const TimePoint now = Now();
  readers_.RecordRequest(request.depth(), now);
  vms_.Update(ReadPlace(request.sender()));
  if (!targets_.current_at() || !targets_.next_offset()) {
    return;
  }
  response.set_known(true);
  response.set_age_ms(AgeInMs(*targets_.current_at(), now));
  targets_.AddTo(response, LogOffset{request.targets_from()});
  response.set_routes_version(routes_.version());
  if (routes_.version() > request.routes_version()) {
    response.set_routes(routes_.compressed());
  }
  if (const auto current_at = routes_.freshness().last_current()) {
    response.set_routes_age_ms(AgeInMs(*current_at, now));
  }
  if (request.vms_known() < vms_.others().size()) {
    for (const auto& [name, endpoint] : vms_.others()) {
      WritePlace(endpoint, *response.add_vms());
    }
  }
}

/// Completes removals that were delayed to let targets register again.
asio::awaitable<void> StoreFollower::AdvanceCatalogPeriodically() {
  for (;;) {
    co_await Sleep(kCheckInterval);
    targets_.Advance(Now());
  }
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
      co_await Sleep(NextBackoff());
    }
  }
}

asio::awaitable<void> StoreFollower::PollVmList() {
  Duration delay = first_start_ ? kInitialVmListDelay : Duration::zero();
  for (;;) {
    co_await Sleep(
        FromSeconds((0.9 + 0.2 * random_.Unit()) * ToSeconds(delay)));
    // VMs that are not readers receive the list from the VM that they poll.
    const bool again = vms_.listed();
    if (again && !readers_.IsReader(Now())) {
      delay = kStartupVmListInterval;
      continue;
    }
    const StoreStatus status = co_await vms_.ReadList();
    if (status != StoreStatus::kDone) {
      delay = NextBackoff();
      continue;
    }
    delay = again ? kVmListInterval : kStartupVmListInterval;
  }
}

void StoreFollower::OnVmsChanged() {
  auto zones = vms_.NamesByZone();
  readers_.SetVms(zones[vms_.self().zone]);
  zones.erase(vms_.self().zone);
  std::vector<std::vector<std::string>> other_zones;
  other_zones.reserve(zones.size());
  for (auto& [zone, vms] : zones) {
    other_zones.push_back(std::move(vms));
  }
  readers_.SetOtherZones(std::move(other_zones));
  hooks_.on_vms(vms_.size());
}

}  // namespace kingcupshed::daemon
