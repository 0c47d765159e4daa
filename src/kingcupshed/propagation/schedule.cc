#include "kingcupshed/propagation/schedule.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace kingcupshed::propagation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Age of a copy at which the head of the first zone reads the store. With a
/// read over two regions and two hops between VMs, changes are in force on all
/// VMs within a third of the smallest bound, 2.5 s.
constexpr Duration kReadAge = milliseconds(500);
/// Age beyond that at which the head of the second zone reads: the time that a
/// read of the first takes to arrive there.
constexpr Duration kSecondHeadDelay = milliseconds(250);
/// The same for each further zone.
constexpr Duration kHeadDelay = milliseconds(150);
/// Age of a copy at which a VM that is no head reads the store itself, and the
/// further age for each VM before it in its zone. Few VMs then read when the
/// store recovers from an outage.
constexpr Duration kOwnReadAge = milliseconds(1300);
constexpr Duration kOwnReadDelay = milliseconds(400);
/// Time without a response of any VM after which the other VMs are assumed not
/// to read either.
constexpr Duration kNoResponseTime = seconds(1);
/// Age of the older copy from which further VMs are polled.
constexpr Duration kFallbackAge = milliseconds(850);
constexpr Duration kFallbackInterval = milliseconds(180);
/// Age from which several further VMs are polled at a time: half of the
/// smallest bound, with a margin for the response.
constexpr Duration kUrgentAge = milliseconds(1200);
constexpr std::size_t kUrgentPolls = 3;
/// The same while this VM has no copy, and the number of VMs of a zone up to
/// which it holds; in proportion to their number in a larger zone, since all of
/// them may start at the same time.
constexpr Duration kStartupFallbackInterval = milliseconds(150);
constexpr std::size_t kStartupFallbackVms = 16;
/// Time after the first start of the whole fleet from which further VMs are
/// polled: none can have a copy before the heads have read the store.
constexpr Duration kFirstStartFallbackTime = milliseconds(1500);
/// VMs of a zone that make their first own read at the same time, and delay of
/// each further one.
constexpr std::size_t kFirstReaders = 4;
constexpr Duration kFirstReadDelay = milliseconds(60);
/// Time by which the copy of another source is newer when the primary counts
/// as stale.
constexpr Duration kStaleDifference = milliseconds(300);
/// Time for which the primary holds a poll.
constexpr Duration kPollWait = milliseconds(600);
constexpr Duration kPollTimeout = milliseconds(300);
/// The same for a VM that has no copy: its zone may have lost power, and all of
/// its VMs request everything at the same time.
constexpr Duration kInitialPollTimeout = milliseconds(600);
/// Pause between a response and the next poll, to combine changes.
constexpr Duration kPollPause = milliseconds(30);
/// The same after a poll that failed.
constexpr Duration kFailedPollPause = milliseconds(100);
/// Mean delay after a failed read; doubles up to 1.2 s.
constexpr Duration kInitialBackoff = milliseconds(300);
constexpr std::uint32_t kMaxBackoffDoublings = 2;
/// Shortest time between two reads.
constexpr Duration kMinReadInterval = milliseconds(100);

/// Time after the start for which a VM waits for the list of VMs, and for the
/// heads to have a copy: when the whole fleet starts, and when one VM restarts.
constexpr Duration kFirstStartTimeout = milliseconds(3500);
constexpr Duration kListTimeout = milliseconds(700);
constexpr Duration kRestartTimeout = milliseconds(1500);
/// Longest time without a look at what is due; suspicions end meanwhile.
constexpr Duration kMaxSleep = milliseconds(500);

}  // namespace

Schedule::Schedule(const std::string& self,
                   std::string zone,
                   bool first_start,
                   TimePoint now)
    : order_(self, std::move(zone)),
      first_start_(first_start),
      random_(std::hash<std::string>{}(self)),
      started_(now) {}

void Schedule::OnVmsListed(TimePoint now) noexcept {
  listed_ = listed_.value_or(now);
}

Duration Schedule::WithJitter(Duration mean) {
  return FromSeconds((0.5 + random_.Unit()) * ToSeconds(mean));
}

void Schedule::OnReadEnded(Content content, bool succeeded, TimePoint now) {
  Read& read = reads_[static_cast<std::size_t>(content)];
  read.pending = false;
  if (succeeded) {
    read.failures = 0;
    read.not_before = now + kMinReadInterval;
    return;
  }
  const std::uint32_t doublings = std::min(read.failures, kMaxBackoffDoublings);
  read.not_before = now + WithJitter(kInitialBackoff * (1U << doublings));
  ++read.failures;
}

void Schedule::OnPollResponded(const std::string& vm,
                               const CurrentTimes& provider,
                               TimePoint now) {
  polled_.erase(vm);
  last_response_ = now;
  const bool primary = order_.Primary(now) == vm;
  if (primary) {
    next_primary_poll_ = now + kPollPause;
  }
  const auto own = current_.Earliest();
  const auto theirs = provider.Earliest();
  const bool stale = own && (!theirs || *theirs + kStaleDifference < *own);
  if (!stale) {
    order_.ClearSuspicion(vm);
  } else if (primary && (!theirs || now - *theirs > kFallbackAge)) {
    order_.Suspect(vm, now);
  }
}

void Schedule::OnPollFailed(const std::string& vm, TimePoint now) {
  polled_.erase(vm);
  order_.Suspect(vm, now);
  next_primary_poll_ = now + WithJitter(kFailedPollPause);
}

std::vector<Action> Schedule::Advance(TimePoint now) {
  std::vector<Action> actions;
  next_wake_ = now + kMaxSleep;
  AddPrimaryPoll(now, actions);
  AddFallbackPoll(now, actions);
  AddReads(now, actions);
  return actions;
}

void Schedule::WakeAt(TimePoint at) noexcept {
  next_wake_ = std::min(next_wake_, at);
}

void Schedule::Poll(const std::string& vm,
                    Duration wait,
                    std::vector<Action>& actions) {
  const Duration timeout =
      current_.Earliest() ? kPollTimeout : kInitialPollTimeout;
  polled_.insert(vm);
  actions.emplace_back(PollVm{vm, wait, wait + timeout});
}

void Schedule::AddPrimaryPoll(TimePoint now, std::vector<Action>& actions) {
  const auto primary = order_.Primary(now);
  if (!primary || polled_.count(*primary) > 0) {
    return;
  }
  if (next_primary_poll_ > now) {
    WakeAt(next_primary_poll_);
    return;
  }
  Poll(*primary, kPollWait, actions);
}

void Schedule::AddFallbackPoll(TimePoint now, std::vector<Action>& actions) {
  const auto current = current_.Earliest();
  const TimePoint first_due =
      started_ + (first_start_ ? kFirstStartFallbackTime : kFallbackInterval);
  const TimePoint due = std::max(current ? *current + kFallbackAge : first_due,
                                 next_fallback_poll_);
  if (due > now) {
    WakeAt(due);
    return;
  }
  next_fallback_poll_ =
      now + WithJitter(current ? kFallbackInterval : StartupFallbackInterval());
  WakeAt(next_fallback_poll_);
  const bool urgent = current && now - *current > kUrgentAge;
  std::size_t polls = urgent ? kUrgentPolls : 1;
  const std::vector<std::string> fallbacks = order_.Fallbacks(now);
  for (std::size_t tried = 0; tried < fallbacks.size() && polls > 0; ++tried) {
    const std::string& vm = fallbacks[fallback_index_++ % fallbacks.size()];
    if (polled_.count(vm) == 0) {
      Poll(vm, Duration::zero(), actions);
      --polls;
    }
  }
}

Duration Schedule::StartupFallbackInterval() const {
  const double factor =
      static_cast<double>(order_.ZoneSize()) / kStartupFallbackVms;
  return FromSeconds(std::max(1.0, factor) *
                     ToSeconds(kStartupFallbackInterval));
}

void Schedule::AddReads(TimePoint now, std::vector<Action>& actions) {
  for (const Content content : kContents) {
    Read& read = reads_[static_cast<std::size_t>(content)];
    if (read.pending) {
      continue;
    }
    const TimePoint due = std::max(read.not_before, ReadTime(content, now));
    if (due > now) {
      WakeAt(due);
      continue;
    }
    read.pending = true;
    actions.emplace_back(ReadStore{content});
  }
}

TimePoint Schedule::ReadTime(Content content, TimePoint now) const {
  const auto current = current_.Of(content);
  return current ? *current + ReadAge(now) : FirstReadTime(now);
}

std::string Schedule::Describe(TimePoint now) const {
  std::string text = order_.IsHead(now) ? "head, primary " : "primary ";
  text += order_.Primary(now).value_or("none");
  for (const std::string& vm : polled_) {
    text += ", polls " + vm;
  }
  for (const Content content : kContents) {
    const Read& read = reads_[static_cast<std::size_t>(content)];
    text += content == Content::kRoutes ? ", routes: " : ", targets: ";
    text += read.pending ? "reads the store, " : "";
    text += std::to_string(read.failures) + " reads failed";
  }
  return text;
}

Duration Schedule::ReadAge(TimePoint now) const {
  if (order_.IsHead(now)) {
    const auto rank = static_cast<int>(order_.ZoneRank());
    return rank == 0 ? kReadAge
                     : kReadAge + kSecondHeadDelay + kHeadDelay * (rank - 1);
  }
  const bool responses =
      last_response_ && now - *last_response_ < kNoResponseTime;
  const int before = static_cast<int>(order_.IndexInZone()) - 1;
  return responses ? kOwnReadAge + kOwnReadDelay * before : kOwnReadAge;
}

TimePoint Schedule::FirstReadTime(TimePoint now) const {
  if (!listed_) {
    return started_ + (first_start_ ? kFirstStartTimeout : kListTimeout);
  }
  if (order_.IsHead(now)) {
    return *listed_ +
           (order_.ZoneRank() == 0 ? Duration::zero() : kSecondHeadDelay);
  }
  const bool responses =
      last_response_ && now - *last_response_ < kNoResponseTime;
  const std::size_t index = std::max(kFirstReaders, order_.IndexInZone());
  const Duration turn = kFirstReadDelay * (index - kFirstReaders);
  if (first_start_) {
    return started_ + kFirstStartTimeout + turn;
  }
  return turn +
         (responses ? started_ + kRestartTimeout : *listed_ + kSecondHeadDelay);
}

}  // namespace kingcupshed::propagation
