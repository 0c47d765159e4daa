#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "standin/http_service.h"
#include "standin/record_store.h"

namespace standin {

/// How the platform answers while it is out of order.
enum class Outage : std::uint8_t {
  kNone,
  /// Answers 503 at once.
  kRefuse,
  /// Never answers; drops the connections when the outage ends.
  kHang,
};

/// What can be switched while the platform runs.
struct PlatformControl {
  Outage outage = Outage::kNone;
  /// Time that each request takes, half before and half after its effect.
  std::chrono::milliseconds delay{};
  /// Number of appends to come whose answer is lost.
  std::size_t lose_answers = 0;
  /// Share of appends whose answer is lost.
  double lose_share = 0.0;
  Retention retention;
  /// Age of the state that the entries of targets and VMs show.
  std::chrono::milliseconds list_lag{};
  /// True while reads that wait are not woken by what comes.
  bool deaf_polls = false;
  /// True while reads that wait are never answered.
  bool lose_polls = false;
  /// Senders, by IP number, whose calls are refused.
  std::set<std::string> refused_senders;
};

/// What the platform has done so far.
struct PlatformCounters {
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
  /// Appends beyond the stated limit.
  std::uint64_t refused = 0;
  std::uint64_t reads = 0;
  std::uint64_t list_reads = 0;
  std::uint64_t lost_answers = 0;
};

/// A list of the platform whose changes show after a lag.
class LaggingList {
 public:
  /// @param entries JSON array of objects with a `name` and a `state`.
  explicit LaggingList(const boost::json::value& entries);

  /// Sets the state of an entry; `removed` takes it off the list.
  /// Throws std::invalid_argument for an unknown name or state.
  void SetState(const std::string& name,
                const std::string& state,
                Clock::time_point visible);

  /// Returns the entries as they show now.
  [[nodiscard]] boost::json::array Show(Clock::time_point now);

  /// Returns the entries that show otherwise than at the last call; those that
  /// are off the list have the state `removed`.
  [[nodiscard]] boost::json::array TakeChanges(Clock::time_point now);

 private:
  struct Change {
    std::string name;
    std::string state;
    Clock::time_point visible;
  };

  boost::json::array entries_;
  std::map<std::string, std::string> states_;
  std::vector<Change> pending_;
  /// States as last taken.
  std::map<std::string, std::string> taken_;
};

/// Newest value of a key.
struct KeyedValue {
  std::uint64_t offset = 0;
  std::string value;
};

/// The platform's store by its published protocol: topics of records with the
/// newest record of each key, the entries of targets and VMs, and the faults
/// that a test switches on.
class Platform {
 public:
  /// @param deployment Deployment file with `targets`, `vms`, `zones`,
  ///   `store_region` and `region_delay_ms`.
  Platform(boost::asio::io_context& io,
           const boost::json::value& deployment,
           PlatformControl control,
           std::size_t appends_per_second);

  /// Answers one request.
  [[nodiscard]] boost::asio::awaitable<Response> Handle(Request request);

 private:
  Response Control(const Request& request);
  std::string Switch(const boost::json::object& changes);
  void SwitchStates(LaggingList& list, const boost::json::value& states);
  [[nodiscard]] boost::json::object Describe();
  boost::asio::awaitable<Response> HandleReached(Request request);
  boost::asio::awaitable<Response> WaitOutOutage();
  Response Append(const Request& request);
  Response Newest(const Request& request);
  boost::asio::awaitable<Response> Read(Request request);
  void PublishLists(Clock::time_point now);
  void PublishChanges(LaggingList& list,
                      const std::string& topic,
                      std::string (*encode)(const boost::json::object&,
                                            std::uint64_t sequence),
                      Clock::time_point now);
  void Store(const std::string& topic,
             const std::vector<std::string>& contents,
             Clock::time_point now);
  boost::asio::awaitable<void> Sleep(Clock::duration duration);
  boost::asio::awaitable<void> WaitForChange(Clock::time_point deadline);
  void WakeAll();
  [[nodiscard]] Clock::duration DistanceOf(const std::string& source) const;

  boost::asio::io_context& io_;
  PlatformControl control_;
  PlatformCounters counters_;
  RecordStore store_;
  RateLimit append_limit_;
  LaggingList targets_;
  LaggingList vms_;
  /// One-way delay by IP number of the sender.
  std::map<std::string, Clock::duration> distances_;
  /// Newest record of each key of the keyed topics; kept for good.
  std::map<std::string, std::map<std::string, KeyedValue>> newest_;
  std::uint64_t list_sequence_ = 0;
  std::set<boost::asio::steady_timer*> waiting_;
  std::mt19937_64 random_{1};
};

}  // namespace standin
