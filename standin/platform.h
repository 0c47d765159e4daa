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

/// How the platform responds during an outage.
enum class Outage : std::uint8_t {
  kNone,
  /// Responds with 503 immediately.
  kRefuse,
  /// Sends no response; closes the connections when the outage ends.
  kHang,
};

/// Settings and faults that `POST /control` changes while the platform runs.
struct PlatformControl {
  Outage outage = Outage::kNone;
  /// Delay added to each request, half before and half after its effect.
  std::chrono::milliseconds delay{};
  /// Number of next appends that take effect but get no response.
  std::size_t lose_responses = 0;
  /// Share of appends, 0 to 1, that take effect but get no response.
  double lose_share = 0.0;
  Retention retention;
  /// Whether every page of a listing is the first one.
  bool repeat_first_page = false;
  /// Maximum number of items on a page of a listing.
  std::size_t page_items = 500;
  /// Delay until a change of a target's or VM's state shows in its entry.
  std::chrono::milliseconds list_lag{};
  /// Whether waiting reads ignore appends and respond only at their deadline.
  bool suppress_poll_wakeups = false;
  /// Whether responses to waiting reads are withheld.
  bool withhold_poll_responses = false;
  /// IP addresses of clients whose requests are refused with 503.
  std::set<std::string> refused_senders;
  /// IP addresses of clients whose requests get no response, including reads
  /// that are waiting.
  std::set<std::string> silenced_senders;
};

/// Counters since the start.
struct PlatformCounters {
  std::uint64_t appends = 0;
  std::uint64_t records = 0;
  /// Appends rejected because of the rate limit.
  std::uint64_t refused = 0;
  std::uint64_t reads = 0;
  std::uint64_t list_reads = 0;
  std::uint64_t lost_responses = 0;
};

/// List of targets or VMs whose state changes become visible after a delay.
class LaggingList {
 public:
  /// @param entries JSON array of objects with a `name` and a `state`.
  explicit LaggingList(const boost::json::value& entries);

  /// Schedules a state for an entry; `removed` takes it off the list.
  ///
  /// Throws std::invalid_argument for an unknown name or state.
  /// @param visible_from Time from which the change shows.
  void SetState(const std::string& name,
                const std::string& state,
                Clock::time_point visible_from);

  /// Applies the changes that are due and returns the entries on the list.
  [[nodiscard]] boost::json::array VisibleEntries(Clock::time_point now);

  /// Returns the entries whose state has changed since the previous call; an
  /// entry that is off the list has the state `removed`.
  [[nodiscard]] boost::json::array CollectChanges(Clock::time_point now);

 private:
  struct Change {
    std::string name;
    std::string state;
    Clock::time_point visible_from;
  };

  boost::json::array entries_;
  std::map<std::string, std::string> states_;
  std::vector<Change> pending_;
  /// State of each entry at the last call of `CollectChanges`.
  std::map<std::string, std::string> collected_;
};

/// Value and offset of the newest record of a key.
struct NewestRecord {
  std::uint64_t offset = 0;
  std::string value;
};

/// Stand-in for the platform's record store, which serves its published
/// protocol: topics of records, the newest record of each key, and the entries
/// of targets and VMs. Tests inject faults through `/control`.
class Platform {
 public:
  /// @param deployment Deployment file with `targets`, `vms`, `zones`,
  ///   `store_region` and `region_delay_ms`.
  Platform(boost::asio::io_context& io,
           const boost::json::value& deployment,
           PlatformControl control,
           std::size_t appends_per_second);

  /// Handles one request.
  [[nodiscard]] boost::asio::awaitable<Response> Handle(Request request);

 private:
  Response Control(const Request& request);
  std::string ApplyChanges(const boost::json::object& changes);
  void SetStates(LaggingList& list, const boost::json::value& states);
  [[nodiscard]] boost::json::object RenderState();
  boost::asio::awaitable<Response> RouteRequest(Request request);
  boost::asio::awaitable<Response> RespondDuringOutage();
  Response Append(const Request& request);
  Response ReadNewest(const Request& request);
  boost::asio::awaitable<Response> Read(Request request);
  void PublishListChanges(Clock::time_point now);
  void PublishChanges(LaggingList& list,
                      const std::string& topic,
                      std::string (*encode)(const boost::json::object&,
                                            std::uint64_t sequence),
                      Clock::time_point now);
  void AppendRecords(const std::string& topic,
                     const std::vector<std::string>& contents,
                     Clock::time_point now);
  boost::asio::awaitable<void> Sleep(Clock::duration duration);
  /// Waits until the client is no longer silenced.
  boost::asio::awaitable<Response> StaySilent(std::string source);
  [[nodiscard]] bool IsSilenced(const std::string& source) const;
  boost::asio::awaitable<void> WaitForChange(Clock::time_point deadline);
  void WakeAll();
  [[nodiscard]] Clock::duration OneWayDelay(const std::string& source) const;

  boost::asio::io_context& io_;
  PlatformControl control_;
  PlatformCounters counters_;
  /// Reads up to this number, by `counters_.reads`, that still wait get no
  /// response.
  std::uint64_t hung_reads_ = 0;
  RecordStore store_;
  RateLimit append_limit_;
  LaggingList targets_;
  LaggingList vms_;
  /// One-way delay by the client's IP address.
  std::map<std::string, Clock::duration> one_way_delays_;
  /// Newest record of each key by keyed topic; not subject to retention.
  std::map<std::string, std::map<std::string, NewestRecord>> newest_;
  std::uint64_t list_sequence_ = 0;
  std::set<boost::asio::steady_timer*> waiters_;
  std::mt19937_64 random_{1};
};

}  // namespace standin
