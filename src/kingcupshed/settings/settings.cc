#include "kingcupshed/settings/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/json/stream_parser.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/routing/policy.h"
#include "kingcupshed/settings/internal/duplicate_keys.h"
#include "kingcupshed/settings/internal/nearest.h"

namespace kingcupshed::settings {

namespace {

namespace json = boost::json;

/// A value being read, with its JSON path and the list that receives its
/// errors.
struct Field {
  std::string path;
  const json::value* value;
  std::vector<ValidationError>* errors;

  void Fail(std::string message, std::string expected) const {
    errors->push_back({path, std::move(message), std::move(expected)});
  }
};

/// Reads a value into settings, or adds an error.
using ReadFunction = void (*)(Settings&, const Field&);

template <std::string Settings::*kMember>
void ReadText(Settings& settings, const Field& field) {
  const json::string* text = field.value->if_string();
  if (text == nullptr || text->empty()) {
    field.Fail("the value is not a non-empty string",
               "a string of at least one character");
    return;
  }
  settings.*kMember = std::string(*text);
}

/// Returns true for an IP address and a port, separated by a colon.
bool IsAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  (void)boost::asio::ip::make_address(host, error);
  const std::string_view port_text = text.substr(colon + 1);
  const char* end = port_text.data() + port_text.size();
  std::uint16_t port = 0;
  const auto read = std::from_chars(port_text.data(), end, port);
  return !error && read.ec == std::errc() && read.ptr == end && port != 0;
}

template <std::string Settings::*kMember>
void ReadAddress(Settings& settings, const Field& field) {
  const json::string* text = field.value->if_string();
  if (text == nullptr || !IsAddress({text->data(), text->size()})) {
    field.Fail("the value is not a network address",
               "an IP address and a port from 1 to 65535, as in "
               "\"127.0.0.1:8080\" or \"[::1]:8080\"");
    return;
  }
  settings.*kMember = std::string(*text);
}

/// Joins strings with commas.
std::string Join(std::span<const std::string_view> items) {
  std::string list;
  for (const std::string_view item : items) {
    list += list.empty() ? "" : ", ";
    list += item;
  }
  return list;
}

/// Reads a string that must be one of several values.
void ReadChoice(std::string& member,
                const Field& field,
                std::span<const std::string_view> choices) {
  const json::string* text = field.value->if_string();
  if (text == nullptr ||
      std::find(choices.begin(), choices.end(),
                std::string_view(text->data(), text->size())) ==
          choices.end()) {
    field.Fail("the value is not one of the accepted strings", Join(choices));
    return;
  }
  member = std::string(*text);
}

void ReadPolicy(Settings& settings, const Field& field) {
  ReadChoice(settings.policy, field, routing::PolicyNames());
}

void ReadLogLevel(Settings& settings, const Field& field) {
  static constexpr std::array<std::string_view, 4> kLevels{"debug", "info",
                                                           "warning", "error"};
  ReadChoice(settings.log_level, field, kLevels);
}

template <std::uint32_t Settings::*kMember, std::uint32_t kMax>
void ReadCount(Settings& settings, const Field& field) {
  const std::int64_t* number = field.value->if_int64();
  if (number == nullptr || *number < 1 || *number > kMax) {
    field.Fail("the value is not a whole number in the accepted range",
               "1 to " + std::to_string(kMax));
    return;
  }
  settings.*kMember = static_cast<std::uint32_t>(*number);
}

template <Duration Settings::*kMember, int kMinMs, int kMaxMs>
void ReadMilliseconds(Settings& settings, const Field& field) {
  const std::int64_t* number = field.value->if_int64();
  if (number == nullptr || *number < kMinMs || *number > kMaxMs) {
    field.Fail("the value is not a duration in the accepted range",
               std::to_string(kMinMs) + " to " + std::to_string(kMaxMs) +
                   " milliseconds");
    return;
  }
  settings.*kMember = std::chrono::milliseconds(*number);
}

template <Duration Settings::*kMember, int kMaxSeconds>
void ReadSeconds(Settings& settings, const Field& field) {
  boost::system::error_code error;
  const auto seconds = field.value->to_number<double>(error);
  if (error || !(seconds > 0.0) || seconds > kMaxSeconds) {
    field.Fail(
        "the value is not a duration in the accepted range",
        "more than 0 and at most " + std::to_string(kMaxSeconds) + " seconds");
    return;
  }
  settings.*kMember = FromSeconds(seconds);
}

template <double Settings::*kMember, int kMax>
void ReadNumber(Settings& settings, const Field& field) {
  boost::system::error_code error;
  const auto number = field.value->to_number<double>(error);
  if (error || !(number >= 0.0) || number > kMax) {
    field.Fail("the value is not a number in the accepted range",
               "0 to " + std::to_string(kMax));
    return;
  }
  settings.*kMember = number;
}

template <bool Settings::*kMember>
void ReadFlag(Settings& settings, const Field& field) {
  const bool* flag = field.value->if_bool();
  if (flag == nullptr) {
    field.Fail("the value is not true or false", "true, false");
    return;
  }
  settings.*kMember = *flag;
}

void ReadZones(Settings& settings, const Field& field) {
  const json::object* zones = field.value->if_object();
  if (zones == nullptr || zones->empty()) {
    field.Fail("the value is not an object",
               "an object with a region for each availability zone");
    return;
  }
  for (const auto& [zone, region] : *zones) {
    const json::string* name = region.if_string();
    if (name == nullptr || name->empty()) {
      field.errors->push_back({field.path + "." + std::string(zone),
                               "the region is not a non-empty string",
                               "the name of a region"});
      continue;
    }
    settings.zones.emplace(zone, std::string(*name));
  }
}

/// A key of the settings file.
struct Key {
  std::string_view name;
  ReadFunction read;
  bool required;
};

constexpr std::uint32_t kMaxVms = 4096;
constexpr std::uint32_t kMaxEvents = 1'000'000;
constexpr int kMaxStopGraceMs = 600'000;
constexpr int kMaxStopLimitSeconds = 86'400;
constexpr int kMinCheckpointIntervalMs = 1000;
constexpr int kMaxCheckpointIntervalMs = 86'400'000;
constexpr std::uint32_t kMaxClaimStreams = 64;
constexpr int kMaxKeyLifetimeMs = 7 * 24 * 3'600'000;
constexpr int kMaxRetryWindowSeconds = 3600;
constexpr int kMaxProbesPerTargetS = 10'000;
constexpr int kMaxRetryRatio = 10;
constexpr int kMaxStoreCallsPerS = 1'000'000;
constexpr int kMaxRetrySlack = 1'000'000;

constexpr std::array<Key, 26> kKeys{{
    {"first_start", &ReadFlag<&Settings::first_start>, false},
    {"vm", &ReadText<&Settings::vm>, true},
    {"zone", &ReadText<&Settings::zone>, true},
    {"zones", &ReadZones, true},
    {"listen", &ReadAddress<&Settings::listen>, true},
    {"peer_listen", &ReadAddress<&Settings::peer_listen>, true},
    {"platform", &ReadAddress<&Settings::platform>, false},
    {"store", &ReadAddress<&Settings::store>, false},
    {"store_reads_per_s",
     &ReadNumber<&Settings::store_reads_per_s, kMaxStoreCallsPerS>, false},
    {"store_writes_per_s",
     &ReadNumber<&Settings::store_writes_per_s, kMaxStoreCallsPerS>, false},
    {"pages_listen", &ReadAddress<&Settings::pages_listen>, false},
    {"metrics_listen", &ReadAddress<&Settings::metrics_listen>, false},
    {"retry_ratio", &ReadNumber<&Settings::retry_ratio, kMaxRetryRatio>, false},
    {"retry_window_s",
     &ReadSeconds<&Settings::retry_window, kMaxRetryWindowSeconds>, false},
    {"retry_slack", &ReadNumber<&Settings::retry_slack, kMaxRetrySlack>, false},
    {"probes_per_target_s",
     &ReadNumber<&Settings::probes_per_target_s, kMaxProbesPerTargetS>, false},
    {"policy", &ReadPolicy, false},
    {"max_vms", &ReadCount<&Settings::max_vms, kMaxVms>, false},
    {"log_level", &ReadLogLevel, false},
    {"event_file", &ReadText<&Settings::event_file>, false},
    {"event_capacity", &ReadCount<&Settings::event_capacity, kMaxEvents>,
     false},
    {"stop_grace_ms",
     &ReadMilliseconds<&Settings::stop_grace, 0, kMaxStopGraceMs>, false},
    {"stop_limit_s", &ReadSeconds<&Settings::stop_limit, kMaxStopLimitSeconds>,
     false},
    {"checkpoint_interval_ms",
     &ReadMilliseconds<&Settings::checkpoint_interval,
                       kMinCheckpointIntervalMs,
                       kMaxCheckpointIntervalMs>,
     false},
    {"claim_streams", &ReadCount<&Settings::claim_streams, kMaxClaimStreams>,
     false},
    {"key_lifetime_ms",
     &ReadMilliseconds<&Settings::key_lifetime, 0, kMaxKeyLifetimeMs>, false},
}};

const Key* FindKey(std::string_view name) noexcept {
  for (const Key& key : kKeys) {
    if (key.name == name) {
      return &key;
    }
  }
  return nullptr;
}

/// Adds an error that names the known key with the most similar spelling.
void FailUnknownKey(const Field& field, std::string_view name) {
  std::vector<std::string_view> known;
  known.reserve(kKeys.size());
  for (const Key& key : kKeys) {
    known.push_back(key.name);
  }
  field.Fail("unknown key; the most similar known key is '" +
                 std::string(internal::Nearest(name, known)) + "'",
             Join(known));
}

/// Reads each member of the root object, and adds an error for each required
/// key that is missing.
void ReadMembers(const json::object& object, ParsedSettings& parsed) {
  for (const auto& member : object) {
    const std::string name(member.key());
    const Field field{"$." + name, &member.value(), &parsed.errors};
    const Key* key = FindKey(name);
    if (key == nullptr) {
      FailUnknownKey(field, name);
      continue;
    }
    // Templates write null for optional values that were not provided.
    if (key->required || !member.value().is_null()) {
      key->read(parsed.settings, field);
    }
  }
  for (const Key& key : kKeys) {
    const json::string_view name(key.name.data(), key.name.size());
    if (key.required && !object.contains(name)) {
      parsed.errors.push_back({"$." + std::string(key.name),
                               "the required key is missing",
                               "a value as described in docs/settings.md"});
    }
  }
}

/// Validates constraints between values.
void ValidateCombinations(ParsedSettings& parsed) {
  const Settings& settings = parsed.settings;
  if (settings.zones.count(settings.zone) == 0) {
    std::vector<std::string_view> zones;
    for (const auto& [zone, region] : settings.zones) {
      zones.push_back(zone);
    }
    parsed.errors.push_back(
        {"$.zone", "the availability zone is not one of $.zones", Join(zones)});
  }
  if (settings.platform.empty() == settings.store.empty()) {
    parsed.errors.push_back(
        {"$.platform", "neither or both of $.platform and $.store are set",
         "exactly one of $.platform and $.store"});
  }
  if (settings.listen == settings.peer_listen) {
    parsed.errors.push_back({"$.peer_listen",
                             "the address is the same as $.listen",
                             "a different address"});
  }
}

/// Returns the line number of a position in a text, counted from one.
std::size_t LineOf(std::string_view text, std::size_t position) {
  const auto* end = text.begin() + std::min(position, text.size());
  return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

}  // namespace

ParsedSettings ParseSettings(std::string_view text) {
  ParsedSettings parsed;
  boost::system::error_code error;
  json::stream_parser parser;
  const std::size_t read = parser.write_some(text.data(), text.size(), error);
  if (!error && read < text.size()) {
    error = json::error::extra_data;
  }
  if (!error) {
    parser.finish(error);
  }
  if (error) {
    parsed.errors.push_back({"line " + std::to_string(LineOf(text, read)),
                             error.message(), "JSON as specified by RFC 8259"});
    return parsed;
  }
  const json::value root = parser.release();
  const json::object* object = root.if_object();
  if (object == nullptr) {
    parsed.errors.push_back(
        {"$", "the file is not a JSON object",
         "an object with the keys described in docs/settings.md"});
    return parsed;
  }
  for (std::string& path : internal::FindDuplicateKeys(text)) {
    parsed.errors.push_back(
        {std::move(path), "duplicate key", "each key at most once"});
  }
  ReadMembers(*object, parsed);
  if (parsed.errors.empty()) {
    ValidateCombinations(parsed);
  }
  return parsed;
}

}  // namespace kingcupshed::settings
