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

/// A value under work: where it stands and where faults go.
struct Field {
  std::string path;
  const json::value* value;
  std::vector<ValidationError>* errors;

  void Fail(std::string message, std::string expected) const {
    errors->push_back({path, std::move(message), std::move(expected)});
  }
};

using ReadFunction = void (*)(Settings&, const Field&);

template <std::string Settings::*kMember>
void ReadText(Settings& settings, const Field& field) {
  const json::string* text = field.value->if_string();
  if (text == nullptr || text->empty()) {
    field.Fail("the value is not text", "text of at least one character");
    return;
  }
  settings.*kMember = std::string(*text);
}

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
    field.Fail("the value is not an address",
               "an IP number and a port from 1 to 65535, as in "
               "\"127.0.0.1:8080\" or \"[::1]:8080\"");
    return;
  }
  settings.*kMember = std::string(*text);
}

std::string Join(std::span<const std::string_view> words) {
  std::string list;
  for (const std::string_view word : words) {
    list += list.empty() ? "" : ", ";
    list += word;
  }
  return list;
}

/// Reads one of a few words.
void ReadWord(std::string& member,
              const Field& field,
              std::span<const std::string_view> words) {
  const json::string* text = field.value->if_string();
  if (text == nullptr ||
      std::find(words.begin(), words.end(),
                std::string_view(text->data(), text->size())) == words.end()) {
    field.Fail("the value is not one of the words", Join(words));
    return;
  }
  member = std::string(*text);
}

void ReadPolicy(Settings& settings, const Field& field) {
  ReadWord(settings.policy, field, routing::PolicyNames());
}

void ReadLogLevel(Settings& settings, const Field& field) {
  static constexpr std::array<std::string_view, 4> kLevels{"debug", "info",
                                                           "warning", "error"};
  ReadWord(settings.log_level, field, kLevels);
}

template <std::uint32_t Settings::*kMember, std::uint32_t kHighest>
void ReadCount(Settings& settings, const Field& field) {
  const std::int64_t* number = field.value->if_int64();
  if (number == nullptr || *number < 1 || *number > kHighest) {
    field.Fail("the value is not a count in range",
               "1 to " + std::to_string(kHighest));
    return;
  }
  settings.*kMember = static_cast<std::uint32_t>(*number);
}

template <Duration Settings::*kMember, int kLowestMs, int kHighestMs>
void ReadMilliseconds(Settings& settings, const Field& field) {
  const std::int64_t* number = field.value->if_int64();
  if (number == nullptr || *number < kLowestMs || *number > kHighestMs) {
    field.Fail("the value is not a time in range",
               std::to_string(kLowestMs) + " to " + std::to_string(kHighestMs) +
                   " milliseconds");
    return;
  }
  settings.*kMember = std::chrono::milliseconds(*number);
}

template <Duration Settings::*kMember, int kHighestSeconds>
void ReadSeconds(Settings& settings, const Field& field) {
  boost::system::error_code error;
  const auto seconds = field.value->to_number<double>(error);
  if (error || !(seconds > 0.0) || seconds > kHighestSeconds) {
    field.Fail("the value is not a time in range",
               "above 0 to " + std::to_string(kHighestSeconds) + " seconds");
    return;
  }
  settings.*kMember = FromSeconds(seconds);
}

template <double Settings::*kMember, int kHighest>
void ReadNumber(Settings& settings, const Field& field) {
  boost::system::error_code error;
  const auto number = field.value->to_number<double>(error);
  if (error || !(number >= 0.0) || number > kHighest) {
    field.Fail("the value is not a number in range",
               "0 to " + std::to_string(kHighest));
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
               "an object from availability zone to region");
    return;
  }
  for (const auto& [zone, region] : *zones) {
    const json::string* name = region.if_string();
    if (name == nullptr || name->empty()) {
      field.errors->push_back({field.path + "." + std::string(zone),
                               "the region is not text",
                               "the name of a region"});
      continue;
    }
    settings.zones.emplace(zone, std::string(*name));
  }
}

struct Key {
  std::string_view name;
  ReadFunction read;
  bool required;
};

constexpr std::uint32_t kMaxVms = 4096;
constexpr std::uint32_t kMaxEvents = 1'000'000;
constexpr int kMaxGraceMs = 600'000;
constexpr int kMaxStopSeconds = 86'400;
constexpr int kMinCheckpointIntervalMs = 1000;
constexpr int kMaxCheckpointIntervalMs = 86'400'000;
constexpr std::uint32_t kMaxClaimStreams = 64;
constexpr int kMaxKeyLifetimeMs = 7 * 24 * 3'600'000;

constexpr int kMaxWindowSeconds = 3600;
constexpr int kMaxProbes = 10'000;
constexpr int kMaxRetryRatio = 10;
constexpr int kMaxStoreCalls = 1'000'000;
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
     &ReadNumber<&Settings::store_reads_per_s, kMaxStoreCalls>, false},
    {"store_writes_per_s",
     &ReadNumber<&Settings::store_writes_per_s, kMaxStoreCalls>, false},
    {"pages_listen", &ReadAddress<&Settings::pages_listen>, false},
    {"metrics_listen", &ReadAddress<&Settings::metrics_listen>, false},
    {"retry_ratio", &ReadNumber<&Settings::retry_ratio, kMaxRetryRatio>, false},
    {"retry_window_s", &ReadSeconds<&Settings::retry_window, kMaxWindowSeconds>,
     false},
    {"retry_slack", &ReadNumber<&Settings::retry_slack, kMaxRetrySlack>, false},
    {"probes_per_target_s",
     &ReadNumber<&Settings::probes_per_target_s, kMaxProbes>, false},
    {"policy", &ReadPolicy, false},
    {"max_vms", &ReadCount<&Settings::max_vms, kMaxVms>, false},
    {"log_level", &ReadLogLevel, false},
    {"event_file", &ReadText<&Settings::event_file>, false},
    {"event_capacity", &ReadCount<&Settings::event_capacity, kMaxEvents>,
     false},
    {"stop_grace_ms", &ReadMilliseconds<&Settings::stop_grace, 0, kMaxGraceMs>,
     false},
    {"stop_limit_s", &ReadSeconds<&Settings::stop_limit, kMaxStopSeconds>,
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

void FailUnknownKey(const Field& field, std::string_view name) {
  std::vector<std::string_view> known;
  known.reserve(kKeys.size());
  for (const Key& key : kKeys) {
    known.push_back(key.name);
  }
  field.Fail("the key is unknown; the nearest known key is '" +
                 std::string(internal::Nearest(name, known)) + "'",
             Join(known));
}

/// Reads each member of the root object, and looks for those missing.
void ReadMembers(const json::object& object, ParsedSettings& parsed) {
  for (const auto& member : object) {
    const std::string name(member.key());
    const Field field{"$." + name, &member.value(), &parsed.errors};
    const Key* key = FindKey(name);
    if (key == nullptr) {
      FailUnknownKey(field, name);
      continue;
    }
    // A template writes null for what it was not given.
    if (key->required || !member.value().is_null()) {
      key->read(parsed.settings, field);
    }
  }
  for (const Key& key : kKeys) {
    const json::string_view name(key.name.data(), key.name.size());
    if (key.required && !object.contains(name)) {
      parsed.errors.push_back({"$." + std::string(key.name),
                               "the key is missing",
                               "a value as in docs/settings.md"});
    }
  }
}

/// Checks what concerns more than one value.
void CheckTogether(ParsedSettings& parsed) {
  const Settings& settings = parsed.settings;
  if (settings.zones.count(settings.zone) == 0) {
    std::vector<std::string_view> zones;
    for (const auto& [zone, region] : settings.zones) {
      zones.push_back(zone);
    }
    parsed.errors.push_back(
        {"$.zone", "the zone is not one of $.zones", Join(zones)});
  }
  if (settings.platform.empty() == settings.store.empty()) {
    parsed.errors.push_back({"$.platform",
                             "the key is missing, or $.store stands besides",
                             "one of $.platform and $.store"});
  }
  if (settings.listen == settings.peer_listen) {
    parsed.errors.push_back({"$.peer_listen", "the address is that of $.listen",
                             "an address of its own"});
  }
}

/// Returns the number of the line on which a text position stands.
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
                             error.message(), "JSON as RFC 8259 has it"});
    return parsed;
  }
  const json::value root = parser.release();
  const json::object* object = root.if_object();
  if (object == nullptr) {
    parsed.errors.push_back({"$", "the file is not a JSON object",
                             "an object with the keys of docs/settings.md"});
    return parsed;
  }
  for (std::string& path : internal::FindDuplicateKeys(text)) {
    parsed.errors.push_back(
        {std::move(path), "the key stands twice", "each key once"});
  }
  ReadMembers(*object, parsed);
  if (parsed.errors.empty()) {
    CheckTogether(parsed);
  }
  return parsed;
}

}  // namespace kingcupshed::settings
