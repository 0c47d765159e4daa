#include "kingcupshed/platform/json_read.h"

#include <boost/json/value.hpp>

namespace kingcupshed::platform {

namespace json = boost::json;

std::optional<std::string> FindString(const json::object& object,
                                      json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return std::nullopt;
  }
  return std::string(value->get_string());
}

std::optional<std::uint64_t> FindUnsigned(const json::object& object,
                                          json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_uint64()) {
    return value->get_uint64();
  }
  if (!value->is_int64() || value->get_int64() < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(value->get_int64());
}

std::optional<double> FindNumber(const json::object& object,
                                 json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  return value->to_number<double>();
}

std::optional<bool> FindBool(const json::object& object,
                             json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_bool()) {
    return std::nullopt;
  }
  return value->get_bool();
}

const json::array* FindArray(const json::object& object,
                             json::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

const json::object* FindObject(const json::object& object,
                               json::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_object();
}

}  // namespace kingcupshed::platform
