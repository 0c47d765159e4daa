#include "standin/target.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace standin {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kMaxLoadHistory = 4096;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

Duration MillisecondsOr(const json::object& object,
                        json::string_view key,
                        double fallback) {
  const json::value* value = object.if_contains(key);
  const double number =
      value == nullptr ? fallback : value->to_number<double>();
  return kingcupshed::FromSeconds(number / 1000);
}

std::size_t CountOr(const json::object& object,
                    json::string_view key,
                    std::size_t fallback) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? fallback : value->to_number<std::size_t>();
}

std::string Text(const json::object& object, json::string_view key) {
  return std::string(object.at(key).as_string());
}

/// Returns the one-way delay from a zone to each VM, by the VM's IP address.
std::map<std::string, Duration> OneWayDelaysFrom(const json::object& deployment,
                                                 const std::string& zone) {
  std::map<std::string, Duration> delays;
  const json::object& regions = deployment.at("zones").as_object();
  const Duration zone_delay = MillisecondsOr(deployment, "zone_delay_ms", 0);
  const Duration region_delay =
      MillisecondsOr(deployment, "region_delay_ms", 0);
  const json::value* vms = deployment.if_contains("vms");
  if (vms == nullptr || !vms->is_array()) {
    return delays;
  }
  for (const json::value& entry : vms->as_array()) {
    const std::string address = Text(entry.as_object(), "address");
    const std::string vm_zone = Text(entry.as_object(), "zone");
    Duration delay = region_delay;
    if (vm_zone == zone) {
      delay = Duration::zero();
    } else if (regions.at(vm_zone) == regions.at(zone)) {
      delay = zone_delay;
    }
    delays[address.substr(0, address.rfind(':'))] = delay;
  }
  return delays;
}

}  // namespace

std::vector<TargetSpec> ParseTargets(const json::value& deployment) {
  std::vector<TargetSpec> specs;
  const json::object& root = deployment.as_object();
  for (const json::value& value : root.at("targets").as_array()) {
    const json::object& entry = value.as_object();
    TargetSpec spec;
    spec.name = Text(entry, "name");
    spec.service = Text(entry, "service");
    spec.zone = Text(entry, "zone");
    spec.address = Text(entry, "address");
    spec.slots = CountOr(entry, "slots", spec.slots);
    spec.connections = CountOr(entry, "connections", spec.connections);
    spec.queue_limit = CountOr(entry, "queue_limit", spec.queue_limit);
    spec.service_time = MillisecondsOr(entry, "service_ms", 10);
    spec.probe_time = MillisecondsOr(root, "probe_ms", 0);
    spec.connect_time = MillisecondsOr(root, "connect_ms", 0);
    spec.delays = OneWayDelaysFrom(root, spec.zone);
    specs.push_back(std::move(spec));
  }
  return specs;
}

std::int64_t WallMicroseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

struct Slots::Waiter {
  explicit Waiter(Slots& slots) : slots(slots), timer(slots.io_) {
    slots.waiters_.push_back(this);
  }
  Waiter(const Waiter&) = delete;
  Waiter& operator=(const Waiter&) = delete;
  ~Waiter() {
    if (!granted) {
      slots.waiters_.remove(this);
    } else if (!claimed) {
      slots.Release();
    }
  }

  Slots& slots;
  asio::steady_timer timer;
  bool granted = false;
  bool claimed = false;
};

Slots::Hold::~Hold() {
  if (slots_ != nullptr) {
    slots_->Release();
  }
}

Slots::Slots(asio::io_context& io, std::size_t count) : io_(io), count_(count) {
  RecordLoad();
}

asio::awaitable<Slots::Hold> Slots::Acquire() {
  if (in_use_ < count_) {
    ++in_use_;
    RecordLoad();
    co_return Hold(*this);
  }
  Waiter waiter(*this);
  RecordLoad();
  while (!waiter.granted) {
    waiter.timer.expires_at(TimePoint::max());
    boost::system::error_code error;
    co_await waiter.timer.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
  }
  waiter.claimed = true;
  co_return Hold(*this);
}

void Slots::Release() {
  if (waiters_.empty()) {
    --in_use_;
  } else {
    Waiter* next = waiters_.front();
    waiters_.pop_front();
    next->granted = true;
    next->timer.cancel();
  }
  RecordLoad();
}

void Slots::RecordLoad() {
  history_.emplace_back(Now(), load());
  if (history_.size() > kMaxLoadHistory) {
    history_.pop_front();
  }
}

LoadReport Slots::load() const noexcept {
  return {static_cast<std::uint32_t>(in_use_),
          static_cast<std::uint32_t>(waiters_.size()),
          static_cast<std::uint32_t>(count_)};
}

LoadReport Slots::LoadAt(TimePoint instant) const noexcept {
  LoadReport found = history_.front().second;
  for (const auto& [time, load] : history_) {
    if (time > instant) {
      break;
    }
    found = load;
  }
  return found;
}

Target::Target(asio::io_context& io, TargetSpec initial_spec)
    : spec(std::move(initial_spec)), slots(io, spec.slots) {
  std::seed_seq seeds(spec.name.begin(), spec.name.end());
  random.seed(seeds);
  random.discard(spec.seed);
}

Duration Target::SampleWorkTime(std::optional<Duration> requested) {
  double seconds = kingcupshed::ToSeconds(spec.service_time);
  if (requested) {
    seconds = kingcupshed::ToSeconds(*requested);
  } else if (spec.exponential) {
    std::exponential_distribution<double> distribution(1 /
                                                       std::max(seconds, 1e-6));
    seconds = distribution(random);
  }
  const TimePoint now = Now();
  if (now < behaviour.slow_end) {
    seconds *= behaviour.slow_factor;
  }
  if (now < behaviour.cold_end) {
    seconds *= behaviour.cold_factor;
  }
  return kingcupshed::FromSeconds(seconds);
}

std::string Target::ConsumeFault() {
  for (auto& [name, count] : behaviour.faults) {
    if (count > 0) {
      --count;
      return name;
    }
  }
  return {};
}

}  // namespace standin
