#include <chrono>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <malloc.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "kingcupshed/dispatch/dispatcher.h"
#include "kingcupshed/membership/membership.h"
#include "kingcupshed/table/table.h"
#include "kingcupshed/table/version_log.h"
#include "kingcupshed/timeline/recorder.h"

namespace {

namespace dispatch = kingcupshed::dispatch;
namespace membership = kingcupshed::membership;
namespace table = kingcupshed::table;
namespace target = kingcupshed::target;
namespace timeline = kingcupshed::timeline;
using kingcupshed::CallId;
using kingcupshed::Duration;
using kingcupshed::kRankCount;
using kingcupshed::LoadReport;
using kingcupshed::LogRecord;
using kingcupshed::Names;
using kingcupshed::Rank;
using kingcupshed::ServiceId;
using kingcupshed::TableVersion;
using kingcupshed::TargetId;
using kingcupshed::TimePoint;
using kingcupshed::VmId;
using kingcupshed::WallTime;
namespace json = boost::json;

constexpr std::size_t kCallCount = 5'000;
constexpr std::size_t kGossipRounds = 300;
/// Intervals between calls: at the short one the time for periodic housekeeping
/// is negligible, at the long one it isn't.
constexpr Duration kShortGap = std::chrono::microseconds(10);
constexpr Duration kLongGap = std::chrono::milliseconds(1);

/// Returns the CPU time that this process has used.
Duration CpuTime() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return std::chrono::seconds(now.tv_sec) +
         std::chrono::nanoseconds(now.tv_nsec);
}

/// Returns the number of heap bytes in use.
std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

double MicrosecondsPerItem(Duration spent, std::size_t count) {
  return kingcupshed::ToSeconds(spent) * 1e6 / static_cast<double>(count);
}

double HeapBytesPerItem(std::size_t heap_before, std::size_t count) {
  return (static_cast<double>(HeapBytes()) - static_cast<double>(heap_before)) /
         static_cast<double>(count);
}

std::string MakeCsv(std::size_t rows) {
  std::string csv =
      "service,rank,weight,concurrency_limit,queue_limit,rate_limit_per_s,"
      "deadline_ms,retry_share,hedge_share,semantics,measure_budget_ms_per_s,"
      "cross_region_bytes_per_s\n";
  for (std::size_t row = 0; row < rows; ++row) {
    csv += "service" + std::to_string(row / kRankCount) + "," +
           std::to_string(row % kRankCount + 1) +
           ",3,10000,200,1000000,2000,0.2,0.05,idempotent,120,200000\n";
  }
  return csv;
}

/// Returns targets in the dispatcher's own zone, spread evenly over the
/// services.
std::vector<target::TargetInfo> MakeTargets(std::size_t count,
                                            std::size_t services) {
  std::vector<target::TargetInfo> targets(count);
  for (std::size_t i = 0; i < count; ++i) {
    targets[i].id = TargetId{static_cast<std::uint32_t>(i)};
    targets[i].service = ServiceId{static_cast<std::uint32_t>(i % services)};
    targets[i].address = "127.0.0.1:9000";
  }
  return targets;
}

/// Runs calls through a dispatcher one after the other, each to its completion.
/// @return CPU time used.
Duration MeasureCalls(dispatch::Dispatcher& dispatcher,
                      ServiceId service,
                      TimePoint now,
                      Duration gap) {
  const Duration cpu_start = CpuTime();
  for (std::uint64_t number = 1; number <= kCallCount; ++number) {
    now += gap;
    dispatch::CallArrived arrived;
    arrived.call = CallId{number};
    arrived.service = service;
    arrived.rank = Rank::kUrgent;
    arrived.deadline = now + std::chrono::seconds(1);
    for (const dispatch::Action& action : dispatcher.Handle(arrived, now)) {
      const auto* start = std::get_if<dispatch::StartAttempt>(&action);
      if (start == nullptr) {
        continue;
      }
      const LoadReport load{1, 0, 3};
      static_cast<void>(dispatcher.Handle(
          dispatch::ResponseStarted{start->call, start->attempt, load}, now));
      static_cast<void>(dispatcher.Handle(
          dispatch::AttemptEnded{start->call, start->attempt,
                                 dispatch::AttemptResult::kCompleted, load},
          now));
    }
  }
  return CpuTime() - cpu_start;
}

json::object MeasureDispatch(std::size_t targets, std::size_t services) {
  Names<ServiceId> service_names;
  const std::size_t heap_before = HeapBytes();
  dispatch::Dispatcher dispatcher(dispatch::Config{});
  dispatcher.SetTable(table::ParseTable(MakeCsv(kRankCount * services)).table,
                      service_names);
  dispatcher.SetTargets(MakeTargets(targets, services));
  const TimePoint begin{std::chrono::hours(1)};
  MeasureCalls(dispatcher, ServiceId{}, begin, kLongGap);
  const double bytes = HeapBytesPerItem(heap_before, targets);
  const Duration short_gap_cost = MeasureCalls(
      dispatcher, ServiceId{}, begin + kLongGap * kCallCount, kShortGap);
  const Duration long_gap_cost = MeasureCalls(
      dispatcher, ServiceId{}, begin + 2 * kLongGap * kCallCount, kLongGap);
  const Duration list_start = CpuTime();
  dispatcher.SetTargets(MakeTargets(targets, services));
  return {{"targets", targets},
          {"services", services},
          {"us_per_call", MicrosecondsPerItem(short_gap_cost, kCallCount)},
          {"housekeeping_core_share",
           kingcupshed::ToSeconds(long_gap_cost - short_gap_cost) /
               kingcupshed::ToSeconds(kLongGap * kCallCount)},
          {"bytes_per_target", bytes},
          {"us_per_list", MicrosecondsPerItem(CpuTime() - list_start, 1)}};
}

/// Measures the dispatcher with one service that has this many targets.
json::object MeasureService(std::size_t targets) {
  return MeasureDispatch(targets, 1);
}

/// Measures the dispatcher with this many services, each with as many targets
/// as at the design size.
json::object MeasureFleet(std::size_t services) {
  constexpr std::size_t kTargetsPerService = 14;
  return MeasureDispatch(services * kTargetsPerService, services);
}

json::object MeasureTable(std::size_t rows) {
  const std::string csv = MakeCsv(rows);
  const std::size_t heap_before = HeapBytes();
  auto versions = std::make_unique<table::VersionLog>();
  LogRecord record;
  record.id = "first";
  record.payload =
      table::ToPayload(table::Publication{TableVersion{}, "operator", csv});
  const Duration start = CpuTime();
  versions->Apply(record);
  const Duration apply = CpuTime() - start;
  const double bytes = HeapBytesPerItem(heap_before, rows);
  Names<ServiceId> services;
  dispatch::Dispatcher dispatcher(dispatch::Config{});
  const std::size_t heap_before_set_table = HeapBytes();
  const Duration set_table_start = CpuTime();
  dispatcher.SetTable(versions->active_table(), services);
  const Duration set_table = CpuTime() - set_table_start;
  return {{"rows", rows},
          {"record_bytes", record.payload.size()},
          {"us_per_change", MicrosecondsPerItem(apply + set_table, 1)},
          {"state_bytes_per_row",
           bytes + HeapBytesPerItem(heap_before_set_table, rows)}};
}

membership::ListedVm MakeListedVm(std::size_t number) {
  return {VmId{static_cast<std::uint32_t>(number)}, "zone", "10.0.0.1:8081",
          false};
}

json::object MeasureMembership(std::size_t vms) {
  const std::size_t heap_before = HeapBytes();
  membership::Config config;
  config.self.zone = "zone";
  membership::Membership self(config);
  std::vector<membership::ListedVm> list;
  for (std::size_t i = 0; i < vms; ++i) {
    list.push_back(MakeListedVm(i));
  }
  TimePoint now{std::chrono::hours(1)};
  self.SetVmList(list, now);
  std::size_t messages = 0;
  std::size_t states = 0;
  const Duration start = CpuTime();
  for (std::size_t round = 1; round <= kGossipRounds; ++round) {
    now += std::chrono::seconds(1);
    membership::Message message;
    message.from = VmId{1};
    message.incarnation = 1;
    // Each round delivers a newer heartbeat of every VM.
    for (std::size_t i = 1; i < vms; ++i) {
      membership::VmState state;
      state.vm = VmId{static_cast<std::uint32_t>(i)};
      state.incarnation = 1;
      state.heartbeat = round;
      message.vms.push_back(state);
    }
    static_cast<void>(self.HandleMessage(message, timeline::HybridTime{}, now));
    for (const membership::Envelope& envelope : self.Tick(now)) {
      ++messages;
      states += envelope.message.vms.size();
    }
  }
  return {
      {"vms", vms},
      {"us_per_round", MicrosecondsPerItem(CpuTime() - start, kGossipRounds)},
      {"messages_per_round",
       static_cast<double>(messages) / static_cast<double>(kGossipRounds)},
      {"states_per_message",
       static_cast<double>(states) /
           static_cast<double>(std::max<std::size_t>(messages, 1))},
      {"bytes_per_vm", HeapBytesPerItem(heap_before, vms)}};
}

json::object MeasureEvents(std::size_t capacity) {
  const std::size_t heap_before = HeapBytes();
  timeline::Recorder recorder("vm", capacity);
  const WallTime now{std::chrono::hours(1)};
  const Duration start = CpuTime();
  std::size_t line_bytes = 0;
  for (std::size_t i = 0; i < kCallCount; ++i) {
    timeline::Event event;
    event.part = "routing";
    event.kind = "attempt_started";
    event.call = "vm-1-" + std::to_string(i);
    event.target = "arendeinfo-12";
    recorder.Record(std::move(event), now);
  }
  const Duration spent = CpuTime() - start;
  line_bytes = timeline::ToJsonLine(recorder.events().back()).size();
  return {{"capacity", capacity},
          {"us_per_event", MicrosecondsPerItem(spent, kCallCount)},
          {"bytes_per_event_kept",
           HeapBytesPerItem(heap_before, std::min(capacity, kCallCount))},
          {"line_bytes", line_bytes}};
}

json::array Sweep(const std::vector<std::size_t>& sizes,
                  const std::function<json::object(std::size_t)>& measure) {
  json::array rows;
  for (const std::size_t size : sizes) {
    rows.push_back(measure(size));
  }
  return rows;
}

}  // namespace

/// Prints as JSON what the decision-making modules cost in CPU time and memory
/// at several sizes each.
int main() {
  const json::object result{
      {"targets_of_a_service", Sweep({5, 20, 100, 400}, &MeasureService)},
      {"target", Sweep({1, 20, 100, 340}, &MeasureFleet)},
      {"table_row", Sweep({9, 90, 300, 1020}, &MeasureTable)},
      {"vm", Sweep({16, 64, 256, 1024}, &MeasureMembership)},
      {"event", Sweep({1024, 4096, 16384}, &MeasureEvents)}};
  std::cout << json::serialize(result) << "\n";
  return 0;
}
