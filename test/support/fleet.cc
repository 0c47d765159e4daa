#include "support/fleet.h"

#include <algorithm>
#include <sstream>
#include <tuple>
#include <utility>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::propagation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMessageBytes = 250;
constexpr std::size_t kRecordBytes = 300;
constexpr std::size_t kPackedPart = 6;
/// Longest document that comes with the response to a poll.
constexpr std::size_t kInlineBytes = 4096;
constexpr Duration kStoreTimeout = milliseconds(1900);
constexpr Duration kFetchTimeout = milliseconds(1200);
constexpr Duration kSlowStore = seconds(1);
/// Time after which a frozen VM's messages are looked at again.
constexpr Duration kFrozenStep = milliseconds(20);
constexpr Duration kStartTime = milliseconds(150);

template <typename Times, typename Key>
void Note(Times& times, Key key, TimePoint now) {
  times.try_emplace(key, now);
}

}  // namespace

Fleet::Fleet(const FleetConfig& config)
    : config_(config), random_(config.seed) {
  routes_.push_back({kStart, 2000});
  for (std::size_t zone = 0; zone < config.zones.size(); ++zone) {
    for (std::size_t at = 0; at < config.zones[zone]; ++at) {
      Vm vm;
      vm.zone =
          "zone-" + std::to_string(zone) + "-" + std::to_string(config.seed);
      vm.name = vm.zone + "-vm-" + std::to_string(at);
      vm.zone_index = zone;
      vm.region = zone % 2;
      index_[vm.name] = vms_.size();
      vms_.push_back(std::move(vm));
    }
  }
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    StartVm(vm, config.first_start);
  }
}

void Fleet::At(TimePoint at, std::function<void()> run) {
  events_.push({std::max(at, now_), next_order_++, std::move(run)});
}

void Fleet::StartVm(std::size_t index, bool first_start) {
  Vm& vm = vms_[index];
  vm.alive = true;
  ++vm.life;
  vm.schedule = std::make_unique<Schedule>(vm.name, vm.zone, first_start, now_);
  vm.fetch = std::make_unique<DocumentFetch>(config_.seed + index);
  vm.pacer = {};
  vm.held = {};
  vm.responders.clear();
  vm.routes_version = 0;
  vm.targets_known_to = 0;
  vm.targets_complete_since = 0;
  vm.reported.clear();
  const Duration list_delay =
      first_start ? milliseconds(700) + milliseconds(random_.Below(100))
                  : milliseconds(60);
  At(now_ + list_delay, [this, index, life = vm.life] {
    Vm& listing = vms_[index];
    if (!listing.alive || listing.life != life) {
      return;
    }
    std::map<std::string, std::vector<std::string>> zones;
    for (const Vm& other : vms_) {
      if (other.name != listing.name) {
        zones[other.zone].push_back(other.name);
      }
    }
    listing.schedule->SetVms(zones);
    listing.schedule->OnVmsListed(now_);
    Drive(index);
  });
}

void Fleet::Add(const Fault& fault) {
  faults_.push_back(fault);
  if (fault.kind != FaultKind::kKilled) {
    return;
  }
  for (const std::size_t vm : fault.vms) {
    At(fault.from, [this, vm] {
      vms_[vm].alive = false;
      ++vms_[vm].life;
    });
    At(fault.until + kStartTime, [this, vm] {
      if (!vms_[vm].alive && !Has(vm, FaultKind::kKilled)) {
        StartVm(vm, false);
      }
    });
  }
}

void Fleet::PublishRoutes(TimePoint at, std::size_t bytes) {
  At(at, [this, bytes] { routes_.push_back({now_, bytes}); });
}

void Fleet::PublishDeparture(TimePoint at) {
  At(at, [this] { departures_.push_back({now_, kRecordBytes}); });
}

void Fleet::RunUntil(TimePoint end) {
  while (!events_.empty() && events_.top().at <= end) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  now_ = end;
}

bool Fleet::Has(std::size_t vm, FaultKind kind) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const Fault& fault) {
    return fault.kind == kind && fault.vms.count(vm) > 0 &&
           fault.from <= now_ && now_ < fault.until;
  });
}

Duration Fleet::Latency(std::size_t a, std::size_t b) const {
  if (vms_[a].region != vms_[b].region) {
    return config_.cross_region;
  }
  return vms_[a].zone == vms_[b].zone ? config_.in_zone : config_.cross_zone;
}

/// Runs something on a VM as soon as it doesn't stand still.
void Fleet::RunOn(std::size_t vm, std::function<void()> run) {
  if (Has(vm, FaultKind::kFrozen)) {
    At(now_ + kFrozenStep,
       [this, vm, run = std::move(run)] { RunOn(vm, run); });
    return;
  }
  run();
}

void Fleet::Send(std::size_t from,
                 std::size_t to,
                 std::size_t bytes,
                 std::function<void()> deliver) {
  const bool cut = Has(from, FaultKind::kCutFromVms);
  const bool lossy = Has(from, FaultKind::kLossy) || Has(to, FaultKind::kLossy);
  if (cut || (lossy && random_.Below(10) == 0)) {
    return;
  }
  const Duration transfer =
      FromSeconds(static_cast<double>(bytes) / config_.link_bytes_per_s);
  TimePoint& up = vms_[from].up_free;
  up = std::max(up, now_) + transfer;
  TimePoint& down = vms_[to].down_free;
  down = std::max(down, up + Latency(from, to) - transfer) + transfer;
  TimePoint& idle_from = vms_[to].idle_from;
  idle_from = std::max(idle_from, down) + config_.message_time;
  At(idle_from, [this, to, life = vms_[to].life, deliver = std::move(deliver)] {
    if (vms_[to].alive && vms_[to].life == life) {
      RunOn(to, deliver);
    }
  });
}

void Fleet::SetRoutes(Vm& vm, std::uint64_t version) {
  reverted_ = reverted_ || version < vm.routes_version;
  for (std::uint64_t at = vm.routes_version + 1; at <= version; ++at) {
    Note(vm.routes_at, at, now_);
  }
  vm.routes_version = std::max(vm.routes_version, version);
  vm.fetch->OnVersion(vm.routes_version);
  vm.pacer.Reset();
}

void Fleet::SetTargets(Vm& vm, std::uint64_t known_to) {
  for (std::uint64_t at = vm.targets_known_to; at < known_to; ++at) {
    Note(vm.targets_at, at, now_);
  }
  vm.targets_known_to = std::max(vm.targets_known_to, known_to);
}

ProviderState Fleet::ProviderOf(const Vm& vm) const {
  return {vm.routes_version, LogOffset{vm.targets_known_to},
          LogOffset{vm.targets_complete_since}, vm.schedule->current()};
}

void Fleet::Drive(std::size_t index) {
  Vm& vm = vms_[index];
  for (const HeldRequests::Id id : vm.held.TakeDue(ProviderOf(vm), now_)) {
    const auto responder = vm.responders.extract(id);
    responder.mapped()();
  }
  for (const Action& action : vm.schedule->Advance(now_)) {
    if (const auto* read = std::get_if<propagation::ReadStore>(&action)) {
      ReadStore(index, read->content);
    } else {
      Poll(index, std::get<PollVm>(action));
    }
  }
  if (const auto from = vm.fetch->Advance(now_)) {
    FetchRoutes(index, *from);
  }
  TimePoint wake = vm.schedule->NextWake();
  wake = std::min(wake, vm.held.NextDeadline().value_or(wake));
  wake = std::min(wake, vm.fetch->NextWake().value_or(wake));
  At(std::max(wake, now_ + milliseconds(1)),
     [this, index, life = vm.life, count = ++vm.wake] {
       if (vms_[index].alive && vms_[index].life == life &&
           vms_[index].wake == count) {
         RunOn(index, [this, index] { Drive(index); });
       }
     });
}

void Fleet::ReadStore(std::size_t index, Content content) {
  Vm& vm = vms_[index];
  ++store_calls_;
  ++store_calls_by_second_[now_.time_since_epoch() / seconds(1)];
  const TimePoint sent = now_;
  const std::uint64_t life = vm.life;
  auto done = std::make_shared<bool>(false);
  const auto end = [this, index, content, life, done](bool succeeded) {
    if (*done || !vms_[index].alive || vms_[index].life != life) {
      return;
    }
    *done = true;
    vms_[index].schedule->OnReadEnded(content, succeeded, now_);
    Drive(index);
  };
  At(sent + kStoreTimeout,
     [this, index, end] { RunOn(index, [end] { end(false); }); });
  if (Has(index, FaultKind::kStoreSilent) ||
      (Has(index, FaultKind::kStoreLosesResponses) && random_.Below(3) == 0)) {
    return;
  }
  const Duration one_way =
      vm.region == 0 ? config_.cross_zone : config_.cross_region;
  // A round trip to connect, and the request itself.
  const TimePoint read_at =
      sent + 3 * one_way + config_.store_time +
      (Has(index, FaultKind::kStoreSlow) ? kSlowStore : Duration::zero());
  if (Has(index, FaultKind::kStoreRefuses)) {
    At(read_at + one_way,
       [this, index, end] { RunOn(index, [end] { end(false); }); });
    return;
  }
  At(read_at, [this, index, content, life, sent, one_way, end, done] {
    Vm& reader = vms_[index];
    const std::uint64_t version = routes_.size();
    const std::uint64_t known_to = departures_.size();
    std::size_t bytes = kMessageBytes;
    if (content == Content::kRoutes && version > reader.routes_version) {
      bytes += routes_.back().bytes;
    } else if (content == Content::kTargets) {
      bytes += kRecordBytes *
               (known_to - std::min(known_to, reader.targets_known_to));
    }
    TimePoint& down = reader.down_free;
    down = std::max(down, now_ + one_way) +
           FromSeconds(static_cast<double>(bytes) / config_.link_bytes_per_s);
    At(down, [this, index, content, life, sent, version, known_to, end, done] {
      RunOn(index,
            [this, index, content, life, sent, version, known_to, end, done] {
              Vm& receiver = vms_[index];
              if (*done || !receiver.alive || receiver.life != life) {
                return;
              }
              if (content == Content::kRoutes) {
                SetRoutes(receiver, std::max(version, receiver.routes_version));
              } else {
                if (!receiver.schedule->current().Of(Content::kTargets)) {
                  receiver.targets_complete_since = known_to;
                }
                SetTargets(receiver, known_to);
              }
              receiver.schedule->OnCurrent(content, sent);
              end(true);
            });
    });
  });
}

void Fleet::Poll(std::size_t index, const PollVm& poll) {
  ++polls_;
  Vm& vm = vms_[index];
  const std::size_t other = IndexOf(poll.vm);
  const std::uint64_t life = vm.life;
  const TimePoint sent = now_;
  auto done = std::make_shared<bool>(false);
  At(now_ + poll.timeout, [this, index, life, done, name = poll.vm] {
    RunOn(index, [this, index, life, done, name] {
      if (*done || !vms_[index].alive || vms_[index].life != life) {
        return;
      }
      *done = true;
      vms_[index].schedule->OnPollFailed(name, now_);
      Drive(index);
    });
  });
  RequesterState requester;
  const Vm::Reported& reported = vm.reported[poll.vm];
  requester.routes_version =
      std::max(vm.routes_version, reported.routes_version);
  requester.targets_known_to = LogOffset{vm.targets_known_to};
  requester.current = vm.schedule->current();
  for (const Content content : kContents) {
    if (const auto at = reported.current.Of(content)) {
      requester.current.Advance(content, *at);
    }
  }
  const std::uint64_t known_version = vm.routes_version;
  const bool has_targets =
      vm.schedule->current().Of(Content::kTargets).has_value();
  Send(index, other, kMessageBytes, [=, this] {
    Vm& provider = vms_[other];
    provider.polled_by.insert(index);
    const HeldRequests::Id id = next_id_++;
    provider.responders[id] = [=, this] {
      Vm& responder = vms_[other];
      const std::uint64_t version = responder.routes_version;
      const std::uint64_t known_to = responder.targets_known_to;
      const CurrentTimes current = responder.schedule->current();
      const std::uint64_t from = ToIndex(requester.targets_known_to);
      std::size_t bytes = kMessageBytes;
      const bool newer = version > known_version;
      const std::size_t document =
          version == 0 ? 0 : routes_[version - 1].bytes / kPackedPart;
      const bool inlined = newer && document <= kInlineBytes;
      bytes += inlined ? document : 0;
      if (!has_targets || from < responder.targets_complete_since) {
        bytes += 15'000;
      } else {
        bytes += kRecordBytes * (known_to - std::min(known_to, from));
      }
      Send(other, index, bytes, [=, this] {
        Vm& receiver = vms_[index];
        if (*done || receiver.life != life) {
          return;
        }
        *done = true;
        receiver.reported[vms_[other].name] = {version, current};
        if (inlined) {
          SetRoutes(receiver, std::max(version, receiver.routes_version));
        } else {
          receiver.fetch->OnAnnounced(vms_[other].name, version);
        }
        if (current.Of(Content::kTargets)) {
          if (!receiver.schedule->current().Of(Content::kTargets)) {
            receiver.targets_complete_since = known_to;
          }
          SetTargets(receiver, known_to);
          receiver.schedule->OnCurrent(Content::kTargets,
                                       *current.Of(Content::kTargets));
        }
        if (current.Of(Content::kRoutes) &&
            version <= receiver.routes_version) {
          receiver.schedule->OnCurrent(Content::kRoutes,
                                       *current.Of(Content::kRoutes));
        }
        receiver.schedule->OnPollResponded(vms_[other].name, current, now_);
        Drive(index);
      });
    };
    provider.held.Add(id, requester, now_ + poll.wait);
    Drive(other);
  });
  (void)sent;
}

std::size_t Fleet::TakeMostPollingVms() {
  std::size_t most = 0;
  for (Vm& vm : vms_) {
    most = std::max(most, vm.polled_by.size());
    vm.polled_by.clear();
  }
  return most;
}

std::size_t Fleet::CountServing() const {
  return static_cast<std::size_t>(
      std::count_if(vms_.begin(), vms_.end(), [](const Vm& vm) {
        return vm.alive && vm.schedule->current().Earliest().has_value();
      }));
}

void Fleet::FetchRoutes(std::size_t index, const std::string& from) {
  Vm& vm = vms_[index];
  const std::size_t other = IndexOf(from);
  const std::uint64_t life = vm.life;
  auto done = std::make_shared<bool>(false);
  const auto end = [this, index, life, from, done](bool responded) {
    if (*done || !vms_[index].alive || vms_[index].life != life) {
      return;
    }
    *done = true;
    vms_[index].fetch->OnEnded(from, responded, now_);
    Drive(index);
  };
  At(now_ + kFetchTimeout,
     [this, index, end] { RunOn(index, [end] { end(false); }); });
  Send(index, other, kMessageBytes, [=, this] {
    Vm& provider = vms_[other];
    const std::uint64_t version = provider.routes_version;
    const std::size_t document =
        version == 0 ? 0 : routes_[version - 1].bytes / kPackedPart;
    const bool newer = version > vms_[index].routes_version;
    const bool sends =
        newer && provider.pacer.TryStart(vms_[index].name, document, now_);
    const std::vector<std::string> holders = provider.pacer.Holders(now_);
    Send(other, index, kMessageBytes + (sends ? document : 0), [=, this] {
      Vm& receiver = vms_[index];
      if (*done || receiver.life != life) {
        return;
      }
      if (sends) {
        SetRoutes(receiver, std::max(version, receiver.routes_version));
      }
      for (const std::string& holder : holders) {
        if (holder != receiver.name) {
          receiver.fetch->OnAnnounced(holder, version);
        }
      }
      end(newer);
    });
  });
}

std::size_t Fleet::IndexOf(const std::string& name) const {
  return index_.at(name);
}

std::vector<std::size_t> Fleet::Heads() const {
  std::vector<std::string> zones;
  for (const Vm& vm : vms_) {
    if (std::count(zones.begin(), zones.end(), vm.zone) == 0) {
      zones.push_back(vm.zone);
    }
  }
  std::vector<std::size_t> heads;
  for (const std::string& zone : InSourceOrder(zones)) {
    std::vector<std::string> names;
    for (const Vm& vm : vms_) {
      if (vm.zone == zone) {
        names.push_back(vm.name);
      }
    }
    heads.push_back(IndexOf(InSourceOrder(names).front()));
  }
  return heads;
}

std::string Fleet::DescribeFaults() const {
  std::ostringstream text;
  for (const Fault& fault : faults_) {
    text << "\n  fault " << static_cast<int>(fault.kind) << " from "
         << ToSeconds(fault.from - kStart) << " s to "
         << ToSeconds(fault.until - kStart) << " s at " << fault.vms.size()
         << " VMs:";
    for (const std::size_t head : Heads()) {
      text << (fault.vms.count(head) > 0 ? " " + vms_[head].name : "");
    }
  }
  return text.str();
}

std::size_t Fleet::MaxStoreCallsPerSecond() const {
  std::size_t most = 0;
  for (const auto& [second, calls] : store_calls_by_second_) {
    most = std::max(most, calls);
  }
  return most;
}

bool Fleet::IsDisturbed(std::size_t vm, TimePoint from, TimePoint until) const {
  return std::any_of(faults_.begin(), faults_.end(), [&](const Fault& fault) {
    const bool store_only = fault.kind == FaultKind::kStoreSilent ||
                            fault.kind == FaultKind::kStoreRefuses ||
                            fault.kind == FaultKind::kStoreSlow ||
                            fault.kind == FaultKind::kStoreLosesResponses;
    return !store_only && fault.vms.count(vm) > 0 && fault.from < until &&
           fault.until > from;
  });
}

Duration Fleet::LongestDelay(Duration margin, TimePoint last) const {
  Duration longest{};
  const auto check = [&](const Vm& vm, std::size_t index, const char* what,
                         const std::map<std::uint64_t, TimePoint>& had,
                         std::uint64_t number, TimePoint confirmed) {
    if (confirmed > last) {
      return;
    }
    const auto found = had.find(number);
    const TimePoint at = found == had.end() ? now_ : found->second;
    if (at - confirmed <= longest ||
        IsDisturbed(index, confirmed - margin, at)) {
      return;
    }
    longest = at - confirmed;
    std::ostringstream text;
    text << vm.name << " " << what << " " << number << " confirmed at "
         << ToSeconds(confirmed - kStart) << " s in force after "
         << ToSeconds(longest) << " s";
    longest_ = text.str();
  };
  for (std::size_t index = 0; index < vms_.size(); ++index) {
    const Vm& vm = vms_[index];
    for (std::size_t at = 1; at < routes_.size(); ++at) {
      check(vm, index, "routes", vm.routes_at, at + 1, routes_[at].confirmed);
    }
    for (std::size_t at = 0; at < departures_.size(); ++at) {
      check(vm, index, "departure", vm.targets_at, at,
            departures_[at].confirmed);
    }
  }
  return longest;
}

}  // namespace kingcupshed::propagation
