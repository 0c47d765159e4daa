#include "kingcupshed/settings/settings.h"

#include <array>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace kingcupshed::settings {

namespace {

namespace json = boost::json;

/// A value under work: where it stands and where faults go.
struct Field {
  std::string path;
  const json::value* value;
  std::vector<Fault>* faults;

  void Fail(std::string cause, std::string accepted) const {
    faults->push_back({path, std::move(cause), std::move(accepted)});
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

template <Duration Settings::*kMember, int kHighestMs>
void ReadMilliseconds(Settings& settings, const Field& field) {
  const std::int64_t* number = field.value->if_int64();
  if (number == nullptr || *number < 0 || *number > kHighestMs) {
    field.Fail("the value is not a time in range",
               "0 to " + std::to_string(kHighestMs) + " milliseconds");
    return;
  }
  settings.*kMember = std::chrono::milliseconds(*number);
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
      field.faults->push_back({field.path + "." + std::string(zone),
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
constexpr std::uint32_t kMaxClaimStreams = 64;
constexpr int kMaxKeyLifetimeMs = 7 * 24 * 3'600'000;

constexpr std::array<Key, 14> kKeys{{
    {"vm", &ReadText<&Settings::vm>, true},
    {"zone", &ReadText<&Settings::zone>, true},
    {"zones", &ReadZones, true},
    {"listen", &ReadText<&Settings::listen>, true},
    {"peer_listen", &ReadText<&Settings::peer_listen>, true},
    {"platform", &ReadText<&Settings::platform>, true},
    {"policy", &ReadText<&Settings::policy>, false},
    {"max_vms", &ReadCount<&Settings::max_vms, kMaxVms>, false},
    {"log_level", &ReadText<&Settings::log_level>, false},
    {"event_file", &ReadText<&Settings::event_file>, false},
    {"event_capacity", &ReadCount<&Settings::event_capacity, kMaxEvents>,
     false},
    {"stop_grace_ms", &ReadMilliseconds<&Settings::stop_grace, kMaxGraceMs>,
     false},
    {"claim_streams", &ReadCount<&Settings::claim_streams, kMaxClaimStreams>,
     false},
    {"key_lifetime_ms",
     &ReadMilliseconds<&Settings::key_lifetime, kMaxKeyLifetimeMs>, false},
}};

const Key* FindKey(std::string_view name) noexcept {
  for (const Key& key : kKeys) {
    if (key.name == name) {
      return &key;
    }
  }
  return nullptr;
}

}  // namespace

ParsedSettings ParseSettings(std::string_view text) {
  ParsedSettings parsed;
  boost::system::error_code error;
  const json::value root =
      json::parse(json::string_view(text.data(), text.size()), error);
  const json::object* object = error ? nullptr : root.if_object();
  if (object == nullptr) {
    parsed.faults.push_back({"$", "the file is not a JSON object",
                             "an object with the keys of docs/settings.md"});
    return parsed;
  }
  for (const auto& member : *object) {
    const std::string name(member.key());
    const Field field{"$." + name, &member.value(), &parsed.faults};
    const Key* key = FindKey(name);
    if (key == nullptr) {
      field.Fail("the key is unknown", "the keys of docs/settings.md");
      continue;
    }
    key->read(parsed.settings, field);
  }
  for (const Key& key : kKeys) {
    if (key.required && !object->contains(json::string_view(key.name.data(),
                                                            key.name.size()))) {
      parsed.faults.push_back(
          {"$." + std::string(key.name), "the key is missing", "a value"});
    }
  }
  return parsed;
}

}  // namespace kingcupshed::settings
