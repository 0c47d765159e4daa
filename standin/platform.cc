#include "standin/platform.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include <absl/strings/escaping.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace standin {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kMaxReadRecords = 1000;
/// Delay of a withheld poll response: the caller sees no response while its
/// connection stays open.
constexpr std::chrono::hours kWithheldPollDelay{1};
constexpr std::string_view kKeyedPrefix = "keyed.";
constexpr const char* kTargetTopic = "keyed.servers";
constexpr const char* kVmTopic = "keyed.vms";

Response JsonResponse(const json::value& value) {
  return {200,
          {{"content-type", "application/json"}},
          json::serialize(value),
          false};
}

Response ErrorResponse(unsigned code, std::string message) {
  return {code, {}, std::move(message) + "\n", false};
}

std::uint64_t QueryNumber(const Request& request, const std::string& key) {
  const auto found = request.query.find(key);
  std::uint64_t value = 0;
  if (found != request.query.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), value);
  }
  return value;
}

struct OutageName {
  std::string_view name;
  Outage outage;
};

constexpr std::array<OutageName, 3> kOutageNames{{{"none", Outage::kNone},
                                                  {"refuse", Outage::kRefuse},
                                                  {"hang", Outage::kHang}}};

Outage ParseOutage(const json::value& value) {
  const std::string_view text(value.as_string().data(),
                              value.as_string().size());
  for (const OutageName& name : kOutageNames) {
    if (name.name == text) {
      return name.outage;
    }
  }
  throw std::invalid_argument("outage must be none, refuse or hang");
}

std::chrono::milliseconds ParseMilliseconds(const json::value& value) {
  return std::chrono::milliseconds(value.to_number<std::int64_t>());
}

std::set<std::string> ParseSenders(const json::value& value) {
  std::set<std::string> senders;
  for (const json::value& sender : value.as_array()) {
    senders.emplace(sender.as_string());
  }
  return senders;
}

/// A key of `POST /control` and the setting it changes.
struct ControlKey {
  std::string_view name;
  void (*apply)(PlatformControl&, const json::value&);
};

constexpr std::array<ControlKey, 13> kControlKeys{{
    {"refused_senders",
     [](PlatformControl& control, const json::value& value) {
       control.refused_senders = ParseSenders(value);
     }},
    {"silenced_senders",
     [](PlatformControl& control, const json::value& value) {
       control.silenced_senders = ParseSenders(value);
     }},
    {"lose_polls",
     [](PlatformControl& control, const json::value& value) {
       control.withhold_poll_responses = value.as_bool();
     }},
    {"deaf_polls",
     [](PlatformControl& control, const json::value& value) {
       control.suppress_poll_wakeups = value.as_bool();
     }},
    {"outage",
     [](PlatformControl& control, const json::value& value) {
       control.outage = ParseOutage(value);
     }},
    {"delay_ms",
     [](PlatformControl& control, const json::value& value) {
       control.delay = ParseMilliseconds(value);
     }},
    {"lose_answers",
     [](PlatformControl& control, const json::value& value) {
       control.lose_responses = value.to_number<std::size_t>();
     }},
    {"lose_share",
     [](PlatformControl& control, const json::value& value) {
       control.lose_share = value.to_number<double>();
     }},
    {"retention_records",
     [](PlatformControl& control, const json::value& value) {
       control.retention.records = value.to_number<std::size_t>();
     }},
    {"retention_ms",
     [](PlatformControl& control, const json::value& value) {
       control.retention.age = ParseMilliseconds(value);
     }},
    {"repeat_first_page",
     [](PlatformControl& control, const json::value& value) {
       control.repeat_first_page = value.as_bool();
     }},
    {"page_items",
     [](PlatformControl& control, const json::value& value) {
       control.page_items = value.to_number<std::size_t>();
     }},
    {"list_lag_ms",
     [](PlatformControl& control, const json::value& value) {
       control.list_lag = ParseMilliseconds(value);
     }},
}};

std::string QueryText(const Request& request, const std::string& key) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? std::string() : found->second;
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int position = bytes - 1; position >= 0; --position) {
    text += static_cast<char>((value >> (8 * position)) & 0xFFU);
  }
  return text;
}

/// Splits a body into the contents of its records, each prefixed with its
/// length in 4 bytes, big-endian.
/// @return The contents, or nothing when the body is truncated.
std::optional<std::vector<std::string>> SplitRecords(const std::string& body) {
  constexpr std::size_t kLengthBytes = 4;
  std::vector<std::string> contents;
  std::size_t position = 0;
  while (position < body.size()) {
    if (body.size() - position < kLengthBytes) {
      return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t byte = 0; byte < kLengthBytes; ++byte) {
      size = size * 256 + static_cast<unsigned char>(body[position + byte]);
    }
    position += kLengthBytes;
    if (body.size() - position < size) {
      return std::nullopt;
    }
    contents.push_back(body.substr(position, size));
    position += size;
  }
  return contents;
}

std::string EncodeKeyedRecord(const std::string& key,
                              const std::string& value) {
  return static_cast<char>(key.size()) + key + value;
}

/// Encodes the record value of a target; empty when it is removed.
std::string EncodeTarget(const json::object& entry, std::uint64_t sequence) {
  if (entry.at("state") == "removed") {
    return {};
  }
  const bool leaving = entry.at("state") == "leaving";
  return json::serialize(json::object{
      {"addr", entry.at("address")},
      {"born", 1},
      {"info", json::object{{"service", entry.at("service")},
                            {"version", "v1"},
                            {"zone", entry.at("zone")},
                            {"slots", entry.at("slots")},
                            {"connections", entry.at("connections")}}},
      {"status", json::object{{"state", leaving ? "draining" : "ready"},
                              {"seq", sequence},
                              {"warmup_left_s", 0}}}});
}

/// Encodes the record value of a VM; empty when it is removed.
std::string EncodeVm(const json::object& entry, std::uint64_t /*sequence*/) {
  if (entry.at("state") == "removed") {
    return {};
  }
  return json::serialize(
      json::object{{"zone", entry.at("zone")},
                   {"address", entry.at("address")},
                   {"peer_address", entry.at("peer_address")},
                   {"leaving", entry.at("state") == "leaving"}});
}

std::string HostOf(const json::object& entry) {
  const std::string address(entry.at("address").as_string());
  return address.substr(0, address.rfind(':'));
}

/// Returns the one-way delay of each VM outside the store's region, by the VM's
/// IP address.
std::map<std::string, Clock::duration> ParseOneWayDelays(
    const json::value& deployment) {
  std::map<std::string, Clock::duration> delays;
  const json::object& root = deployment.as_object();
  if (!root.contains("zones") || !root.contains("store_region") ||
      !root.contains("region_delay_ms")) {
    return delays;
  }
  const std::chrono::duration<double, std::milli> delay(
      root.at("region_delay_ms").to_number<double>());
  for (const json::value& value : root.at("vms").as_array()) {
    const json::object& vm = value.as_object();
    const json::value* region =
        root.at("zones").as_object().if_contains(vm.at("zone").as_string());
    if (region != nullptr && *region != root.at("store_region")) {
      delays[HostOf(vm)] = std::chrono::duration_cast<Clock::duration>(delay);
    }
  }
  return delays;
}

}  // namespace

LaggingList::LaggingList(const json::value& entries)
    : entries_(entries.as_array()) {
  for (const json::value& entry : entries_) {
    states_[std::string(entry.at("name").as_string())] =
        std::string(entry.at("state").as_string());
  }
}

void LaggingList::SetState(const std::string& name,
                           const std::string& state,
                           Clock::time_point visible_from) {
  if (states_.count(name) == 0) {
    throw std::invalid_argument(name + ": the name is not on the list");
  }
  if (state != "live" && state != "leaving" && state != "removed") {
    throw std::invalid_argument(name +
                                ": the state must be live, leaving or removed");
  }
  pending_.push_back({name, state, visible_from});
}

json::array LaggingList::VisibleEntries(Clock::time_point now) {
  std::stable_sort(pending_.begin(), pending_.end(),
                   [](const Change& left, const Change& right) {
                     return left.visible_from < right.visible_from;
                   });
  while (!pending_.empty() && pending_.front().visible_from <= now) {
    states_[pending_.front().name] = pending_.front().state;
    pending_.erase(pending_.begin());
  }
  json::array visible_entries;
  for (const json::value& value : entries_) {
    json::object entry = value.as_object();
    const std::string& state =
        states_[std::string(entry.at("name").as_string())];
    if (state != "removed") {
      entry["state"] = state;
      visible_entries.push_back(std::move(entry));
    }
  }
  return visible_entries;
}

json::array LaggingList::CollectChanges(Clock::time_point now) {
  (void)VisibleEntries(now);
  json::array changed;
  for (const json::value& value : entries_) {
    json::object entry = value.as_object();
    const std::string name(entry.at("name").as_string());
    if (collected_[name] == states_[name]) {
      continue;
    }
    collected_[name] = states_[name];
    entry["state"] = states_[name];
    changed.push_back(std::move(entry));
  }
  return changed;
}

Platform::Platform(asio::io_context& io,
                   const json::value& deployment,
                   PlatformControl control,
                   std::size_t appends_per_second)
    : io_(io),
      control_(std::move(control)),
      append_limit_(appends_per_second),
      targets_(deployment.at("targets")),
      vms_(deployment.at("vms")),
      one_way_delays_(ParseOneWayDelays(deployment)) {}

asio::awaitable<Response> Platform::Handle(Request request) {
  if (request.path == "/control") {
    co_return Control(request);
  }
  const Clock::duration one_way =
      OneWayDelay(request.source) + control_.delay / 2;
  co_await Sleep(one_way);
  if (control_.outage != Outage::kNone) {
    co_return co_await RespondDuringOutage();
  }
  if (control_.refused_senders.count(request.source) > 0) {
    co_return ErrorResponse(503, "requests of this client are refused");
  }
  if (IsSilenced(request.source)) {
    co_return co_await StaySilent(request.source);
  }
  Response response = co_await RouteRequest(std::move(request));
  co_await Sleep(one_way);
  co_return response;
}

asio::awaitable<Response> Platform::RouteRequest(Request request) {
  PublishListChanges(Clock::now());
  if (request.path == "/api/log-append" && request.method == "POST") {
    co_return Append(request);
  }
  if (request.path == "/api/log-newest") {
    co_return ReadNewest(request);
  }
  if (request.path == "/api/log-read") {
    co_return co_await Read(std::move(request));
  }
  co_return ErrorResponse(404, "unknown path or method");
}

/// Appends a record for each target and VM entry that has changed.
void Platform::PublishListChanges(Clock::time_point now) {
  PublishChanges(targets_, kTargetTopic, &EncodeTarget, now);
  PublishChanges(vms_, kVmTopic, &EncodeVm, now);
}

void Platform::PublishChanges(LaggingList& list,
                              const std::string& topic,
                              std::string (*encode)(const json::object&,
                                                    std::uint64_t),
                              Clock::time_point now) {
  std::vector<std::string> contents;
  for (const json::value& value : list.CollectChanges(now)) {
    const json::object& entry = value.as_object();
    contents.push_back(
        EncodeKeyedRecord(std::string(entry.at("name").as_string()),
                          encode(entry, ++list_sequence_)));
  }
  if (!contents.empty()) {
    AppendRecords(topic, contents, now);
  }
}

/// Appends records to a topic and wakes waiting reads.
void Platform::AppendRecords(const std::string& topic,
                             const std::vector<std::string>& contents,
                             Clock::time_point now) {
  std::vector<StoredRecord> records;
  for (const std::string& content : contents) {
    StoredRecord record;
    record.payload = content;
    records.push_back(std::move(record));
  }
  std::uint64_t offset = store_.Append(topic, std::move(records), now);
  if (topic.rfind(kKeyedPrefix, 0) == 0) {
    for (const std::string& content : contents) {
      const std::size_t key_size = static_cast<unsigned char>(content[0]);
      const std::string key = content.substr(1, key_size);
      std::string value = content.substr(1 + key_size);
      if (value.empty()) {
        newest_[topic].erase(key);
      } else {
        newest_[topic][key] = {offset, std::move(value)};
      }
      ++offset;
    }
  }
  store_.Expire(control_.retention, now);
  WakeAll();
}

asio::awaitable<Response> Platform::RespondDuringOutage() {
  if (control_.outage == Outage::kRefuse) {
    co_return ErrorResponse(503, "outage");
  }
  while (control_.outage == Outage::kHang) {
    co_await WaitForChange(Clock::time_point::max());
  }
  Response response;
  response.drop = true;
  co_return response;
}

asio::awaitable<Response> Platform::StaySilent(std::string source) {
  while (IsSilenced(source)) {
    co_await WaitForChange(Clock::time_point::max());
  }
  Response response;
  response.drop = true;
  co_return response;
}

bool Platform::IsSilenced(const std::string& source) const {
  return control_.silenced_senders.count(source) > 0;
}

Response Platform::Append(const Request& request) {
  const auto now = Clock::now();
  const std::string topic = QueryText(request, "topic");
  const auto contents = SplitRecords(request.body);
  if (topic.empty() || !contents) {
    return ErrorResponse(400, "a topic and complete records are required");
  }
  if (!append_limit_.Admit(now)) {
    ++counters_.refused;
    return ErrorResponse(429, "append rate limit exceeded");
  }
  ++counters_.appends;
  counters_.records += contents->size();
  const std::uint64_t first = store_.end_offset(topic);
  AppendRecords(topic, *contents, now);
  Response response = JsonResponse(
      json::object{{"offset", first}, {"end", store_.end_offset(topic)}});
  const bool response_lost =
      std::uniform_real_distribution<>()(random_) < control_.lose_share;
  if (control_.lose_responses > 0 || response_lost) {
    control_.lose_responses -=
        std::min<std::size_t>(control_.lose_responses, 1);
    ++counters_.lost_responses;
    response.drop = true;
  }
  return response;
}

Response Platform::ReadNewest(const Request& request) {
  ++counters_.list_reads;
  const std::string topic = QueryText(request, "topic");
  const std::string after =
      control_.repeat_first_page ? "" : QueryText(request, "after");
  json::array items;
  bool more = false;
  for (const auto& [key, newest] : newest_[topic]) {
    if (!after.empty() && key <= after) {
      continue;
    }
    if (items.size() >= control_.page_items) {
      more = true;
      break;
    }
    items.push_back(json::object{{"key", key},
                                 {"value", absl::Base64Escape(newest.value)},
                                 {"offset", newest.offset}});
  }
  return JsonResponse(json::object{{"items", std::move(items)},
                                   {"has_more", more},
                                   {"end", store_.end_offset(topic)}});
}

asio::awaitable<Response> Platform::Read(Request request) {
  const std::uint64_t number = ++counters_.reads;
  const std::string topic = QueryText(request, "topic");
  const std::uint64_t from = QueryNumber(request, "from");
  const auto deadline =
      Clock::now() + std::chrono::milliseconds(QueryNumber(request, "wait_ms"));
  if (control_.withhold_poll_responses && deadline > Clock::now()) {
    co_await Sleep(kWithheldPollDelay);
  }
  if (control_.suppress_poll_wakeups) {
    co_await Sleep(deadline - Clock::now());
  }
  while (store_.end_offset(topic) <= from && Clock::now() < deadline &&
         control_.outage == Outage::kNone && !IsSilenced(request.source)) {
    co_await WaitForChange(deadline);
    if (number <= hung_reads_) {
      co_await Sleep(kWithheldPollDelay);
    }
    PublishListChanges(Clock::now());
  }
  if (control_.outage != Outage::kNone) {
    co_return co_await RespondDuringOutage();
  }
  if (IsSilenced(request.source)) {
    co_return co_await StaySilent(request.source);
  }
  store_.Expire(control_.retention, Clock::now());
  if (from < store_.first_offset(topic)) {
    Response truncated =
        JsonResponse(json::object{{"first", store_.first_offset(topic)}});
    truncated.code = 410;
    co_return truncated;
  }
  Response response;
  response.headers["content-type"] = "application/octet-stream";
  response.body = BigEndian(store_.end_offset(topic), 8) +
                  BigEndian(store_.first_offset(topic), 8);
  for (const StoredRecord& record : store_.Read(topic, from, kMaxReadRecords)) {
    response.body += BigEndian(record.payload.size(), 4) + record.payload;
  }
  co_return response;
}

asio::awaitable<void> Platform::Sleep(Clock::duration duration) {
  if (duration <= Clock::duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Platform::WaitForChange(Clock::time_point deadline) {
  asio::steady_timer timer(io_, deadline);
  waiters_.insert(&timer);
  boost::system::error_code error;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
  waiters_.erase(&timer);
}

void Platform::WakeAll() {
  for (asio::steady_timer* timer : waiters_) {
    timer->cancel();
  }
}

Clock::duration Platform::OneWayDelay(const std::string& source) const {
  const auto found = one_way_delays_.find(source);
  return found == one_way_delays_.end() ? Clock::duration::zero()
                                        : found->second;
}

Response Platform::Control(const Request& request) {
  if (request.method == "POST") {
    boost::system::error_code error;
    const json::value root = json::parse(request.body, error);
    if (error || !root.is_object()) {
      return ErrorResponse(400, "the body is not a JSON object");
    }
    std::string problem;
    try {
      problem = ApplyChanges(root.get_object());
    } catch (const std::exception& error) {
      problem = error.what();
    }
    if (!problem.empty()) {
      return ErrorResponse(400, std::move(problem));
    }
    PublishListChanges(Clock::now());
    WakeAll();
  }
  return JsonResponse(RenderState());
}

std::string Platform::ApplyChanges(const json::object& changes) {
  for (const auto& [key, value] : changes) {
    const auto* found = std::find_if(
        kControlKeys.begin(), kControlKeys.end(),
        [&, name = std::string_view(key.data(), key.size())](
            const ControlKey& candidate) { return candidate.name == name; });
    if (found != kControlKeys.end()) {
      found->apply(control_, value);
    } else if (key == "appends_per_s") {
      append_limit_.set_per_second(value.to_number<std::size_t>());
    } else if (key == "compact") {
      store_.DropAll(std::string(value.as_string()));
    } else if (key == "hang_waiting_reads") {
      hung_reads_ = value.as_bool() ? counters_.reads : 0;
    } else if (key == "targets" || key == "vms") {
      SetStates(key == "targets" ? targets_ : vms_, value);
    } else {
      return std::string(key) + ": unknown control key";
    }
  }
  return {};
}

void Platform::SetStates(LaggingList& list, const json::value& states) {
  const auto visible_from = Clock::now() + control_.list_lag;
  for (const auto& [name, value] : states.as_object()) {
    list.SetState(std::string(name), std::string(value.as_string()),
                  visible_from);
  }
}

json::object Platform::RenderState() {
  store_.Expire(control_.retention, Clock::now());
  json::object streams;
  for (const auto& [name, size] : store_.record_counts()) {
    streams[name] = json::object{{"first", store_.first_offset(name)},
                                 {"end", store_.end_offset(name)},
                                 {"records", size}};
  }
  const auto index = static_cast<std::size_t>(control_.outage);
  const std::string_view outage = kOutageNames.at(index).name;
  return {{"outage", json::string_view(outage.data(), outage.size())},
          {"delay_ms", control_.delay.count()},
          {"lose_answers", control_.lose_responses},
          {"lose_share", control_.lose_share},
          {"deaf_polls", control_.suppress_poll_wakeups},
          {"retention_records", control_.retention.records},
          {"retention_ms", control_.retention.age.count()},
          {"list_lag_ms", control_.list_lag.count()},
          {"appends_per_s", append_limit_.per_second()},
          {"waiting", waiters_.size()},
          {"streams", std::move(streams)},
          {"appends", counters_.appends},
          {"records", counters_.records},
          {"refused", counters_.refused},
          {"reads", counters_.reads},
          {"list_reads", counters_.list_reads},
          {"lost_answers", counters_.lost_responses}};
}

}  // namespace standin
