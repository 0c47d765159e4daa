#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace kingcupshed::platform {

/// Returns a string member, or nothing if it is absent or of another type.
[[nodiscard]] std::optional<std::string> FindString(
    const boost::json::object& object,
    boost::json::string_view key);

/// Returns a non-negative integer member, or nothing.
[[nodiscard]] std::optional<std::uint64_t> FindUnsigned(
    const boost::json::object& object,
    boost::json::string_view key);

/// Returns a numeric member, or nothing.
[[nodiscard]] std::optional<double> FindNumber(
    const boost::json::object& object,
    boost::json::string_view key);

/// Returns a boolean member, or nothing.
[[nodiscard]] std::optional<bool> FindBool(const boost::json::object& object,
                                           boost::json::string_view key);

/// Returns an array member, or null.
[[nodiscard]] const boost::json::array* FindArray(
    const boost::json::object& object,
    boost::json::string_view key);

/// Returns an object member, or null.
[[nodiscard]] const boost::json::object* FindObject(
    const boost::json::object& object,
    boost::json::string_view key);

}  // namespace kingcupshed::platform
