#include "kingcupshed/daemon/store_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "kingcupshed/daemon/topic_reader.h"
#include "kingcupshed/platform/documents.h"
#include "peer.pb.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using platform::KeyedPage;
using platform::StoreStatus;

/// Longest wait of a poll for routes; the store allows 30 s.
constexpr Duration kLongPoll = std::chrono::seconds(25);
/// Time between two reads of the targets, and between two questions to the VM
/// that reads. Both together stay within the time in which a leaving target
/// must get no more work, with room for a question that fails.
constexpr Duration kTargetPace = std::chrono::milliseconds(900);
/// Part by which the pace of VMs differs, so that they don't ask together.
constexpr double kPaceSpread = 0.2;
/// What others read is used up to this age; beyond, another VM is asked.
constexpr Duration kFreshAge = std::chrono::milliseconds(1600);
/// A VM whose knowledge is older reads the store itself.
constexpr Duration kStaleAge = std::chrono::milliseconds(2000);
constexpr Duration kAskTimeout = std::chrono::milliseconds(300);
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(100);
constexpr Duration kShortestBackoff = std::chrono::milliseconds(150);
constexpr Duration kBackoffSpread = std::chrono::milliseconds(300);
/// Time after the start for which a VM rather asks others than reads itself.
constexpr Duration kStartPatience = std::chrono::milliseconds(3500);
/// The VMs of a fleet that starts for the first time have registered by then.
constexpr Duration kFirstListDelay = std::chrono::milliseconds(700);
/// VMs start together and list each other again once all have registered.
constexpr Duration kListDelay = std::chrono::milliseconds(1200);
/// Time between two listings of the VMs; most changes come by their questions.
constexpr Duration kListInterval = std::chrono::seconds(60);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

/// Rounds up, so that news never look newer than they are.
std::uint64_t AgeInMs(TimePoint since, TimePoint now) {
  return static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(now - since).count());
}

}  // namespace

StoreFollower::StoreFollower(asio::io_context& io,
                             const platform::Store& store,
                             VmPlace place,
                             bool first_start,
                             StoreHooks hooks)
    : io_(io),
      store_(store),
      place_(std::move(place)),
      first_start_(first_start),
      hooks_(std::move(hooks)),
      random_(std::hash<std::string>{}(place_.vm)),
      client_(io),
      server_(
          io,
          {[](const peer::wire::Gossip&, peer::wire::Gossip&) {},
           [](const peer::wire::KeptAnswerRequest&, peer::wire::KeptAnswer&) {},
           [this](const peer::wire::PublishedRequest& request,
                  peer::wire::Published& answer) { Answer(request, answer); }}),
      routes_(store_,
              {hooks_.on_routes,
               [this] {
                 hooks_.on_event("routes_not_usable", "the ones in force stay");
               }}),
      readers_(place_.vm),
      started_(Now()) {}

bool StoreFollower::Start() {
  if (!server_.Listen(place_.peer_address)) {
    return false;
  }
  asio::co_spawn(io_, FollowRoutes(), asio::detached);
  asio::co_spawn(io_, FollowTargets(), asio::detached);
  asio::co_spawn(io_, FollowVms(), asio::detached);
  asio::co_spawn(io_, AdvanceTargets(), asio::detached);
  return true;
}

void StoreFollower::Stop() {
  server_.Stop();
  client_.Stop();
}

asio::awaitable<void> StoreFollower::Pause(Duration duration) {
  asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

Duration StoreFollower::Backoff() {
  return kShortestBackoff +
         FromSeconds(random_.Unit() * ToSeconds(kBackoffSpread));
}

void StoreFollower::NoteStore(bool reached) {
  if (reached != store_reached_) {
    hooks_.on_event(reached ? "store_regained" : "store_lost", "");
  }
  store_reached_ = reached;
}

bool StoreFollower::IsStale(TimePoint now) const {
  return !newest_read_ || now - *newest_read_ > kStaleAge;
}

/// Returns whether this VM may read the store now. When the whole fleet has
/// just started nobody waits for this VM, and it gives the others some time.
bool StoreFollower::MayRead(TimePoint now) const {
  const bool patient = first_start_ && now - started_ < kStartPatience;
  return !patient || (listed_ && readers_.IsReader(now));
}

/// Returns whether this VM is to read the targets from the store now.
bool StoreFollower::ShouldRead(TimePoint now) const {
  return MayRead(now) && (readers_.IsReader(now) || IsStale(now));
}

asio::awaitable<void> StoreFollower::FollowRoutes() {
  for (;;) {
    const bool reader = readers_.IsReader(Now());
    const bool stale = routes_.watch().IsStale(Now());
    if (!MayRead(Now()) || (!reader && !stale)) {
      co_await Pause(kAdvanceInterval);
      continue;
    }
    const StoreStatus status =
        co_await routes_.Read(reader ? kLongPoll : Duration::zero());
    if (status != StoreStatus::kDone && status != StoreStatus::kExpired) {
      co_await Pause(Backoff());
    }
  }
}

asio::awaitable<void> StoreFollower::FollowTargets() {
  for (;;) {
    bool fresh = false;
    if (!readers_.IsReader(Now()) || readers_.DoubtsSelf(Now())) {
      fresh = co_await AskOthers();
    }
    if (!fresh && ShouldRead(Now())) {
      fresh = co_await ReadTargets();
    }
    if (fresh) {
      co_await Pause(
          FromSeconds((1.0 - kPaceSpread / 2 + kPaceSpread * random_.Unit()) *
                      ToSeconds(kTargetPace)));
    } else {
      co_await Pause(Backoff());
    }
  }
}

asio::awaitable<bool> StoreFollower::ReadTargets() {
  const std::string topic(platform::kTargetTopic);
  const bool whole = !targets_next_;
  const TimePoint asked = Now();
  const KeyedPage page =
      co_await ReadTopic(store_, topic, targets_next_, Duration::zero(),
                         [this, asked](const Page& early) {
                           TakeTargets(early, false);
                           newest_read_ = asked;
                         });
  if (page.status == StoreStatus::kExpired) {
    targets_next_.reset();
    co_return false;
  }
  NoteStore(page.status == StoreStatus::kDone);
  if (page.status != StoreStatus::kDone) {
    catalog_.NoteOutage(Now());
    health_.NoteFailure(Now());
    readers_.Doubt(place_.vm, Now());
    co_return false;
  }
  readers_.Trust(place_.vm);
  catalog_.NoteRead(Now());
  // A first listing takes two calls.
  health_.NoteAnswer(whole ? (Now() - asked) / 2 : Now() - asked, Now());
  TakeTargets(page, whole);
  targets_next_ = page.next;
  newest_read_ = asked;
  // While the store is in doubt, a poll that waits may never be woken.
  if (health_.IsDoubtful(Now())) {
    co_await routes_.Check();
  } else {
    routes_.watch().NoteStoreSound(asked);
  }
  co_return true;
}

void StoreFollower::TakeTargets(const KeyedPage& page, bool whole) {
  const TimePoint now = Now();
  std::vector<std::string> names;
  for (const platform::KeyedRecord& record : page.records) {
    names.push_back(record.key);
    records_.Take({record.offset, record.key, record.value}, now);
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
    records_.KeepOnly(names, page.next, now);
  }
  records_.Trim(now);
  if (catalog_.Advance(now)) {
    hooks_.on_targets();
  }
}

/// Asks other VMs for what they read, one after the other.
/// @return True when one had fresh news.
asio::awaitable<bool> StoreFollower::AskOthers() {
  for (const std::string& vm : readers_.Candidates(Now())) {
    const bool fresh = co_await Ask(vm);
    if (fresh) {
      readers_.Trust(vm);
      co_return true;
    }
    if (!first_start_ || Now() - started_ >= kStartPatience) {
      readers_.Doubt(vm, Now());
    }
  }
  if (IsStale(Now())) {
    catalog_.NoteOutage(Now());
  }
  co_return false;
}

asio::awaitable<bool> StoreFollower::Ask(std::string vm) {
  const auto place = vms_.find(vm);
  if (place == vms_.end()) {
    co_return false;
  }
  peer::wire::PublishedRequest request;
  request.mutable_sender()->set_vm(place_.vm);
  request.mutable_sender()->set_zone(place_.zone);
  request.mutable_sender()->set_peer_address(place_.peer_address);
  request.set_targets_from(targets_next_ ? ToIndex(*targets_next_) : 0);
  request.set_vms_known(vms_.size());
  request.set_routes_version(routes_.version());
  asio::steady_timer answered(io_, asio::steady_timer::time_point::max());
  std::optional<bool> fresh;
  const TimePoint asked = Now();
  client_.FetchPublished(
      place->second.peer_address, request, kAskTimeout,
      [&](const peer::wire::Published* news) {
        const bool usable = news != nullptr && news->known();
        if (usable) {
          Take(*news, asked);
          const Duration age = std::chrono::milliseconds(news->age_ms());
          newest_read_ =
              std::max(newest_read_.value_or(TimePoint{}), asked - age);
          fresh = age <= kFreshAge;
        } else {
          fresh = false;
        }
        answered.cancel();
      });
  // The client answers each question, so the references above stay valid.
  while (!fresh) {
    boost::system::error_code error;
    co_await answered.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  if (*fresh) {
    catalog_.NoteRead(Now());
  }
  co_return *fresh;
}

/// @param asked When the other VM was asked.
void StoreFollower::Take(const peer::wire::Published& news, TimePoint asked) {
  KeyedPage page;
  page.status = StoreStatus::kDone;
  for (const peer::wire::StoreRecord& record : news.targets()) {
    page.records.push_back({LogOffset{record.offset()}, record.key(),
                            record.removed()
                                ? std::nullopt
                                : std::optional<std::string>(record.value())});
  }
  page.next = LogOffset{news.targets_next()};
  if (!targets_next_ || page.next >= *targets_next_) {
    TakeTargets(page, !targets_next_);
    targets_next_ = page.next;
  }
  routes_.TakeTold(news.routes(),
                   news.has_routes_age_ms()
                       ? std::optional(asked - std::chrono::milliseconds(
                                                   news.routes_age_ms()))
                       : std::nullopt);
  for (const peer::wire::VmPlace& vm : news.vms()) {
    TakeVm(vm.vm(), vm.zone(), vm.peer_address());
  }
}

/// Answers another VM with what this one has, and goes on reading for it.
void StoreFollower::Answer(const peer::wire::PublishedRequest& request,
                           peer::wire::Published& answer) {
  const TimePoint now = Now();
  readers_.NoteAsked(now);
  const auto& sender = request.sender();
  TakeVm(sender.vm(), sender.zone(), sender.peer_address());
  if (!newest_read_ || !targets_next_) {
    return;
  }
  answer.set_known(true);
  answer.set_age_ms(AgeInMs(*newest_read_, now));
  const LogOffset from{request.targets_from()};
  for (const catalog::CachedRecord& record : records_.Since(from)) {
    peer::wire::StoreRecord& out = *answer.add_targets();
    out.set_offset(ToIndex(record.offset));
    out.set_key(record.key);
    out.set_removed(!record.value);
    out.set_value(record.value.value_or(""));
  }
  answer.set_targets_next(ToIndex(*targets_next_));
  if (routes_.version() > request.routes_version()) {
    answer.set_routes(routes_.text());
  }
  if (const auto current = routes_.watch().current()) {
    answer.set_routes_age_ms(AgeInMs(*current, now));
  }
  if (request.vms_known() < vms_.size()) {
    for (const auto& [name, place] : vms_) {
      peer::wire::VmPlace& out = *answer.add_vms();
      out.set_vm(place.vm);
      out.set_zone(place.zone);
      out.set_peer_address(place.peer_address);
    }
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
  const std::string place =
      platform::EncodeVm(place_.zone, place_.peer_address);
  for (;;) {
    const StoreStatus put = co_await store_.Put(topic, place_.vm, place);
    if (put == StoreStatus::kDone) {
      break;
    }
    co_await Pause(Backoff());
  }
  Duration pause = first_start_ ? kFirstListDelay : Duration::zero();
  for (;;) {
    co_await Pause(
        FromSeconds((0.9 + 0.2 * random_.Unit()) * ToSeconds(pause)));
    // The others are told by the VM that they ask.
    if (listed_ && !readers_.IsReader(Now())) {
      pause = kListDelay;
      continue;
    }
    const KeyedPage page = co_await store_.ReadNewest(topic);
    const bool listed = page.status == StoreStatus::kDone;
    if (listed) {
      TakeVms(page);
    }
    pause = listed && listed_ ? kListInterval : kListDelay;
    listed_ = listed_ || listed;
  }
}

void StoreFollower::TakeVms(const KeyedPage& page) {
  for (const platform::KeyedRecord& record : page.records) {
    const auto place =
        record.value ? platform::DecodeVm(*record.value) : std::nullopt;
    if (place) {
      TakeVm(record.key, place->zone, place->peer_address);
    }
  }
}

void StoreFollower::TakeVm(const std::string& vm,
                           const std::string& zone,
                           const std::string& peer_address) {
  if (vm == place_.vm || vm.empty()) {
    return;
  }
  VmPlace& place = vms_[vm];
  if (place.peer_address == peer_address && place.zone == zone) {
    return;
  }
  place = {vm, zone, peer_address};
  RenewReaders();
  hooks_.on_vms(vms_.size() + 1);
}

void StoreFollower::RenewReaders() {
  std::vector<std::string> near;
  for (const auto& [name, place] : vms_) {
    if (place.zone == place_.zone) {
      near.push_back(name);
    }
  }
  readers_.SetVms(near);
}

}  // namespace kingcupshed::daemon
