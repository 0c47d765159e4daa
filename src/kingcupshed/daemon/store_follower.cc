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
#include "kingcupshed/peer/packed.h"
#include "kingcupshed/platform/documents.h"
#include "peer.pb.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using platform::KeyedPage;
using platform::StoreStatus;

/// Longest wait of a poll for routes. One whose answer was lost, or that is
/// never woken, must be over and the routes with all VMs within the four
/// seconds for which a disturbance of the store excuses them.
constexpr Duration kLongPoll = std::chrono::seconds(2);
/// Time between two reads of the targets, and between two questions to the VM
/// that reads. Both together stay within the time in which a leaving target
/// must get no more work, with room for a question that fails.
constexpr Duration kTargetPace = std::chrono::milliseconds(900);
/// Part by which the pace of VMs differs, so that they don't ask together.
constexpr double kPaceSpread = 0.2;
/// What others read is used up to this age; beyond, another VM is asked.
constexpr Duration kFreshAge = std::chrono::milliseconds(1600);
constexpr Duration kAskTimeout = std::chrono::milliseconds(300);
/// The same for a VM that knows nothing yet and gets everything, at the same
/// time as others of its zone.
constexpr Duration kFirstAskTimeout = std::chrono::milliseconds(500);
/// Some times what the records of the largest fleet take, in bytes.
constexpr std::size_t kMostTargetBytes = 16UL * 1024 * 1024;
constexpr Duration kAdvanceInterval = std::chrono::milliseconds(100);
/// Usual time between the questions of a VM whose news are old.
constexpr Duration kAskPause = std::chrono::milliseconds(300);
/// Usual time until a call to the store that failed is tried again; it doubles
/// to 1.2 s, which leaves enough of the four seconds after the store's return.
constexpr Duration kShortestBackoff = std::chrono::milliseconds(300);
constexpr std::uint32_t kMostDoublings = 2;
/// Time between the questions of a VM that knows nothing yet.
constexpr Duration kStartBackoff = std::chrono::milliseconds(20);
/// Age of the news after which a failed question counts as an outage.
constexpr Duration kOutageAge = std::chrono::milliseconds(2000);
/// The VMs of a fleet that starts for the first time have registered by then.
constexpr Duration kFirstListDelay = std::chrono::milliseconds(700);
/// VMs start together and list each other again once all have registered.
constexpr Duration kListDelay = std::chrono::milliseconds(1200);
/// Time between two listings of the VMs; most changes come by their questions.
constexpr Duration kListInterval = std::chrono::seconds(60);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

using WireRecords = google::protobuf::RepeatedPtrField<peer::wire::StoreRecord>;

void AddRecords(const std::vector<catalog::CachedRecord>& records,
                WireRecords& out) {
  for (const catalog::CachedRecord& record : records) {
    peer::wire::StoreRecord& one = *out.Add();
    one.set_offset(ToIndex(record.offset));
    one.set_key(record.key);
    one.set_removed(!record.value);
    one.set_value(record.value.value_or(""));
  }
}

void TakeRecords(const WireRecords& records, KeyedPage& page) {
  for (const peer::wire::StoreRecord& record : records) {
    page.records.push_back({LogOffset{record.offset()}, record.key(),
                            record.removed()
                                ? std::nullopt
                                : std::optional<std::string>(record.value())});
  }
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
  asio::co_spawn(io_, Register(), asio::detached);
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

Duration StoreFollower::Jittered(Duration usual) {
  return FromSeconds((0.5 + random_.Unit()) * ToSeconds(usual));
}

/// Returns the time until the next call to the store after one that failed.
Duration StoreFollower::Backoff() {
  return Jittered(kShortestBackoff *
                  (1U << std::min(store_failures_, kMostDoublings)));
}

void StoreFollower::NoteStore(bool reached) {
  if (reached != store_reached_) {
    hooks_.on_event(reached ? "store_regained" : "store_lost", "");
  }
  store_reached_ = reached;
  store_failures_ = reached ? 0 : store_failures_ + 1;
}

/// Returns whether this VM is to read the store now.
/// @param known When what it knows was current, if it knows anything.
bool StoreFollower::IsTurn(TimePoint now,
                           std::optional<TimePoint> known) const {
  catalog::ReadConditions facts;
  facts.uptime = now - started_;
  facts.first_start = first_start_;
  facts.vms_listed = listed_;
  facts.peer_responded = answered_;
  facts.data_age = known ? now - *known : facts.uptime;
  return readers_.ShouldReadNow(facts, now);
}

asio::awaitable<void> StoreFollower::FollowRoutes() {
  for (;;) {
    const bool reader = readers_.IsReader(Now());
    const bool stale = routes_.watch().IsStale(Now());
    if (!IsTurn(Now(), routes_.watch().last_current()) || (!reader && !stale)) {
      co_await Pause(routes_.version() == 0 ? kStartBackoff : kAdvanceInterval);
      continue;
    }
    const StoreStatus status =
        co_await routes_.Read(reader ? kLongPoll : Duration::zero());
    if (status == StoreStatus::kDone || status == StoreStatus::kExpired) {
      continue;
    }
    if (store_reached_) {
      // A slow store answers a read that does not wait, given more time.
      co_await routes_.Check();
    }
    co_await Pause(Backoff());
  }
}

asio::awaitable<void> StoreFollower::FollowTargets() {
  for (;;) {
    bool fresh = false;
    if (!readers_.IsReader(Now()) || readers_.IsSelfSuspected(Now())) {
      fresh = co_await AskOthers();
    }
    if (!fresh && Now() >= next_read_ && IsTurn(Now(), newest_read_)) {
      fresh = co_await ReadTargets();
      next_read_ = store_failures_ == 0 ? TimePoint{} : Now() + Backoff();
    }
    co_await CheckRoutes();
    if (fresh) {
      const Duration pace =
          FromSeconds((1.0 - kPaceSpread / 2 + kPaceSpread * random_.Unit()) *
                      ToSeconds(kTargetPace));
      co_await Pause(catalog::NextPollDelay(Now() - *newest_read_, pace));
    } else {
      co_await Pause(newest_read_ ? Jittered(kAskPause) : kStartBackoff);
    }
  }
}

/// Reads the routes beside a poll that can't be relied on: sent before the
/// store's last disturbance, or silent.
asio::awaitable<void> StoreFollower::CheckRoutes() {
  const TimePoint now = Now();
  const bool doubtful = readers_.IsReader(now) && health_.IsDegraded(now);
  if (routes_.reading() && (doubtful || routes_.watch().IsStale(now))) {
    co_await routes_.Check();
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
    catalog_.OnOutage(Now());
    health_.OnFailure(Now());
    routes_.watch().OnStoreDegraded();
    readers_.Suspect(place_.vm, Now());
    co_return false;
  }
  readers_.ClearSuspicion(place_.vm);
  DoubtOutdated();
  catalog_.OnReadSucceeded(Now());
  // A first listing takes two calls.
  const Duration elapsed = whole ? (Now() - asked) / 2 : Now() - asked;
  if (health_.OnResponse(elapsed, Now())) {
    routes_.watch().OnStoreHealthy(asked);
  } else {
    routes_.watch().OnStoreDegraded();
  }
  TakeTargets(page, whole);
  targets_next_ = page.next;
  newest_read_ = asked;
  co_return true;
}

void StoreFollower::TakeTargets(const KeyedPage& page, bool whole) {
  const TimePoint now = Now();
  std::vector<std::string> names;
  for (const platform::KeyedRecord& record : page.records) {
    names.push_back(record.key);
    if (!record.value) {
      records_.Apply({record.offset, record.key, std::nullopt}, true, now);
      catalog_.ApplyRemoval(record.key, record.offset, now);
      continue;
    }
    auto report = platform::DecodeTarget(record.key, *record.value);
    if (!report) {
      continue;
    }
    const auto known = catalog_.targets().find(record.key);
    const bool says_more =
        known == catalog_.targets().end() ||
        catalog::ReportsChange(*report, known->second.report);
    if (catalog_.ApplyReport(*std::move(report), record.offset, now)) {
      records_.Apply({record.offset, record.key, record.value}, says_more, now);
    }
  }
  if (whole) {
    catalog_.ApplyListing(names, page.next, now);
    records_.ApplyListing(names, page.next, now);
  }
  records_.Trim(now);
  if (catalog_.Advance(now)) {
    hooks_.on_targets();
  }
}

/// Asks other VMs for what they read, one after the other.
/// @return True when one had fresh news.
asio::awaitable<bool> StoreFollower::AskOthers() {
  outdated_.clear();
  for (const std::string& vm : readers_.PeersToPoll(Now())) {
    const AskResult result = co_await Ask(vm);
    if (result == AskResult::kFresh) {
      readers_.ClearSuspicion(vm);
      DoubtOutdated();
      answered_ = true;
      co_return true;
    }
    if (result == AskResult::kSilent) {
      readers_.Suspect(vm, Now());
    } else {
      outdated_.push_back(vm);
    }
  }
  answered_ = !outdated_.empty();
  if (!newest_read_ || Now() - *newest_read_ > kOutageAge) {
    catalog_.OnOutage(Now());
  }
  co_return false;
}

/// Doubts the VMs that had old news, now that there are fresh ones: the store
/// is not away, but they can't read it.
void StoreFollower::DoubtOutdated() {
  for (const std::string& vm : outdated_) {
    readers_.Suspect(vm, Now());
  }
  outdated_.clear();
}

asio::awaitable<StoreFollower::AskResult> StoreFollower::Ask(std::string vm) {
  const auto place = vms_.find(vm);
  if (place == vms_.end()) {
    co_return AskResult::kSilent;
  }
  peer::wire::PublishedRequest request;
  request.mutable_sender()->set_vm(place_.vm);
  request.mutable_sender()->set_zone(place_.zone);
  request.mutable_sender()->set_peer_address(place_.peer_address);
  request.set_targets_from(targets_next_ ? ToIndex(*targets_next_) : 0);
  request.set_vms_known(vms_.size());
  request.set_depth(readers_.RequestDepth(Now()));
  request.set_routes_version(routes_.version());
  asio::steady_timer answered(io_, asio::steady_timer::time_point::max());
  std::optional<AskResult> result;
  const TimePoint asked = Now();
  client_.FetchPublished(
      place->second.peer_address, request,
      targets_next_ ? kAskTimeout : kFirstAskTimeout,
      [&](const peer::wire::Published* news) {
        result = news == nullptr ? AskResult::kSilent : AskResult::kNothing;
        if (news != nullptr && news->known() && Take(*news, asked)) {
          const Duration age = std::chrono::milliseconds(news->age_ms());
          newest_read_ =
              std::max(newest_read_.value_or(TimePoint{}), asked - age);
          result = age <= kFreshAge ? AskResult::kFresh : AskResult::kOld;
        }
        answered.cancel();
      });
  // The client answers each question, so the references above stay valid.
  while (!result) {
    boost::system::error_code error;
    co_await answered.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  if (*result == AskResult::kFresh) {
    catalog_.OnReadSucceeded(Now());
  }
  co_return *result;
}

/// @param asked When the other VM was asked.
/// @return False when the answer is spoilt.
bool StoreFollower::Take(const peer::wire::Published& news, TimePoint asked) {
  KeyedPage page;
  page.status = StoreStatus::kDone;
  if (news.all_targets().empty()) {
    TakeRecords(news.targets(), page);
  } else {
    const auto text = peer::Unpack(news.all_targets(), kMostTargetBytes);
    peer::wire::TargetRecords all;
    if (!text || !all.ParseFromString(*text)) {
      hooks_.on_event("targets_not_usable", "another VM's answer is spoilt");
      return false;
    }
    TakeRecords(all.records(), page);
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
  return true;
}

/// Returns all records of targets, packed once for all VMs that ask before the
/// next read: after a loss of power whole zones ask at the same moment.
const std::string& StoreFollower::PackAllTargets() {
  if (packed_at_ != targets_next_) {
    peer::wire::TargetRecords all;
    AddRecords(records_.ChangedSince(LogOffset{0}), *all.mutable_records());
    packed_targets_ = peer::Pack(all.SerializeAsString());
    packed_at_ = targets_next_;
  }
  return packed_targets_;
}

/// Answers another VM with what this one has, and goes on reading for it.
void StoreFollower::Answer(const peer::wire::PublishedRequest& request,
                           peer::wire::Published& answer) {
  const TimePoint now = Now();
  readers_.RecordRequest(request.depth(), now);
  const auto& sender = request.sender();
  TakeVm(sender.vm(), sender.zone(), sender.peer_address());
  if (!newest_read_ || !targets_next_) {
    return;
  }
  answer.set_known(true);
  answer.set_age_ms(AgeInMs(*newest_read_, now));
  if (request.targets_from() == 0) {
    answer.set_all_targets(PackAllTargets());
  } else {
    AddRecords(records_.ChangedSince(LogOffset{request.targets_from()}),
               *answer.mutable_targets());
  }
  answer.set_targets_next(ToIndex(*targets_next_));
  if (routes_.version() > request.routes_version()) {
    answer.set_routes(routes_.packed());
  }
  if (const auto current = routes_.watch().last_current()) {
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

/// Tells the others where this VM is, unless the store has it from a life
/// before.
asio::awaitable<void> StoreFollower::Register() {
  const std::string place =
      platform::EncodeVm(place_.zone, place_.peer_address);
  while (!first_start_ && !listed_) {
    co_await Pause(kAdvanceInterval);
  }
  if (registered_) {
    co_return;
  }
  for (;;) {
    const StoreStatus put =
        co_await store_.Put(std::string(platform::kVmTopic), place_.vm, place);
    if (put == StoreStatus::kDone) {
      co_return;
    }
    co_await Pause(Backoff());
  }
}

asio::awaitable<void> StoreFollower::FollowVms() {
  const std::string topic(platform::kVmTopic);
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
    if (page.status != StoreStatus::kDone) {
      pause = Backoff();
      continue;
    }
    TakeVms(page);
    pause = listed_ ? kListInterval : kListDelay;
    listed_ = true;
  }
}

void StoreFollower::TakeVms(const KeyedPage& page) {
  for (const platform::KeyedRecord& record : page.records) {
    const auto place =
        record.value ? platform::DecodeVm(*record.value) : std::nullopt;
    registered_ = registered_ || (place && record.key == place_.vm &&
                                  place->zone == place_.zone &&
                                  place->peer_address == place_.peer_address);
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
