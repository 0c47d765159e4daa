#include "kingcupshed/once/record.h"

#include <optional>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace kingcupshed::once {

namespace {

namespace json = boost::json;

std::optional<std::string> FindString(const json::object& object,
                                      std::string_view name) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  const json::string* text = value == nullptr ? nullptr : value->if_string();
  if (text == nullptr) {
    return std::nullopt;
  }
  return std::string(*text);
}

std::optional<std::uint64_t> FindNumber(const json::object& object,
                                        std::string_view name) {
  const json::value* value = object.if_contains({name.data(), name.size()});
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

}  // namespace

Record ParseRecord(const LogRecord& record) {
  boost::system::error_code error;
  const json::value root = json::parse(record.payload, error);
  const json::object* object = error ? nullptr : root.if_object();
  if (object == nullptr) {
    return {};
  }
  const auto key = FindString(*object, "key");
  if (!key) {
    return {};
  }
  if (const auto released = FindString(*object, "release")) {
    return Release{*released, *key};
  }
  const auto vm = FindString(*object, "vm");
  const auto fingerprint = FindNumber(*object, "fingerprint");
  if (!vm || !fingerprint) {
    return {};
  }
  return Claim{record.id, *key, *vm, *fingerprint};
}

std::string ToPayload(const Claim& claim) {
  json::object object;
  object["key"] = claim.key;
  object["vm"] = claim.vm;
  object["fingerprint"] = claim.fingerprint;
  return json::serialize(object);
}

std::string ToPayload(const Release& release) {
  json::object object;
  object["key"] = release.key;
  object["release"] = release.claim;
  return json::serialize(object);
}

std::string ReleaseId(const std::string& claim) {
  return "release:" + claim;
}

}  // namespace kingcupshed::once
