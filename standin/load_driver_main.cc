#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>

#include "standin/load_client.h"
#include "standin/load_plan.h"
#include "standin/load_results.h"

namespace {

namespace asio = boost::asio;
using kingcupshed::Duration;
using kingcupshed::TimePoint;
using standin::LoadPlan;
using standin::LoadStream;
using standin::StreamResults;

/// Open-loop load driver: sends each call of a plan when it is due, regardless
/// of the outcome of earlier calls.
class LoadDriver {
 public:
  LoadDriver(asio::io_context& io, const LoadPlan& plan)
      : io_(io),
        plan_(plan),
        client_(io, plan.vms),
        results_(plan.streams.size()),
        start_(std::chrono::steady_clock::now()) {}

  void Start() {
    for (std::size_t i = 0; i < plan_.streams.size(); ++i) {
      asio::co_spawn(io_, SendStream(i), asio::detached);
    }
  }

  [[nodiscard]] boost::json::object RenderResults() {
    boost::json::object streams;
    for (std::size_t i = 0; i < plan_.streams.size(); ++i) {
      const LoadStream& stream = plan_.streams[i];
      const Duration measured =
          stream.stop - std::max(stream.start, stream.measure_from);
      streams[stream.name] = standin::ToJson(results_[i], measured);
      if (const auto group = groups_.find(stream.group);
          group != groups_.end()) {
        streams[stream.group] = standin::ToJson(group->second, measured);
      }
    }
    return {{"seed", plan_.seed},
            {"connections_opened", client_.connections_opened()},
            {"most_behind_ms", kingcupshed::ToMilliseconds(max_send_delay_)},
            {"streams", std::move(streams)}};
  }

 private:
  asio::awaitable<void> SendStream(std::size_t index) {
    const LoadStream& stream = plan_.streams[index];
    std::mt19937_64 random(plan_.seed + index);
    std::exponential_distribution<double> interval(stream.rate);
    const std::size_t vm_count =
        stream.vms.empty() ? plan_.vms.size() : stream.vms.size();
    std::uniform_int_distribution<std::size_t> vm_distribution(0, vm_count - 1);
    asio::steady_timer timer(io_);
    Duration due_offset = stream.start;
    for (std::uint64_t number = 0;; ++number) {
      due_offset += kingcupshed::FromSeconds(interval(random));
      if (due_offset >= stream.stop) {
        co_return;
      }
      const TimePoint due_time = start_ + due_offset;
      if (due_time > std::chrono::steady_clock::now()) {
        timer.expires_at(due_time);
        co_await timer.async_wait(asio::use_awaitable);
      }
      max_send_delay_ = std::max<Duration>(
          max_send_delay_, std::chrono::steady_clock::now() - due_time);
      const std::size_t drawn = vm_distribution(random);
      const std::size_t vm = stream.vms.empty() ? drawn : stream.vms[drawn];
      asio::co_spawn(io_,
                     SendCall(index, MakeCall(stream, vm, number), due_time,
                              due_offset >= stream.measure_from),
                     asio::detached);
    }
  }

  [[nodiscard]] standin::LoadCall MakeCall(const LoadStream& stream,
                                           std::size_t vm,
                                           std::uint64_t number) const {
    standin::LoadCall call;
    call.vm = vm;
    call.method = stream.body_bytes > 0 ? "POST" : "GET";
    call.path = "/" + stream.service + "/" + stream.path;
    call.caller = stream.name + "-" + std::to_string(plan_.seed) + "-" +
                  std::to_string(number);
    call.key = stream.keyed ? call.caller : "";
    call.body = std::string(stream.body_bytes, 'b');
    call.rank = stream.rank;
    call.deadline = stream.deadline;
    call.timeout = stream.timeout;
    return call;
  }

  asio::awaitable<void> SendCall(std::size_t index,
                                 standin::LoadCall call,
                                 TimePoint due_time,
                                 bool counted) {
    const standin::LoadResponse response =
        co_await client_.Send(std::move(call));
    const Duration latency = std::chrono::steady_clock::now() - due_time;
    if (!counted) {
      co_return;
    }
    const LoadStream& stream = plan_.streams[index];
    Count(results_[index], response, latency, stream.deadline);
    if (!stream.group.empty()) {
      Count(groups_[stream.group], response, latency, stream.deadline);
    }
  }

  static void Count(StreamResults& results,
                    const standin::LoadResponse& response,
                    Duration latency,
                    Duration deadline) {
    results.Count(response.outcome);
    if (response.outcome == standin::CallOutcome::kCompleted) {
      results.late += deadline > Duration::zero() && latency > deadline;
      results.latencies.push_back(latency);
      results.bytes += response.bytes;
      ++results.targets[response.target];
    } else {
      ++results.reasons[response.reason.empty() ? std::to_string(response.code)
                                                : response.reason];
    }
  }

  asio::io_context& io_;
  const LoadPlan& plan_;
  standin::LoadClient client_;
  std::vector<StreamResults> results_;
  std::map<std::string, StreamResults> groups_;
  TimePoint start_;
  /// Largest delay between the time a call was due and the time it was sent.
  Duration max_send_delay_{};
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: load_driver PLAN.json\n";
    return 2;
  }
  std::ifstream file(argv[1]);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  const auto plan = standin::ParseLoadPlan(text);
  if (!plan) {
    std::cerr << argv[1] << ": the plan is malformed\n";
    return 2;
  }
  asio::io_context io(1);
  LoadDriver driver(io, *plan);
  driver.Start();
  io.run();
  std::cout << boost::json::serialize(driver.RenderResults()) << "\n";
  return 0;
}
