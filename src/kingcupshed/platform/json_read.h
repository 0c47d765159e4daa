#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace kingcupshed::platform {

/// Returns a member's text, or nothing when it is absent or of another type.
[[nodiscard]] std::optional<std::string> FindText(
    const boost::json::object& object,
    boost::json::string_view key);

/// Returns a member's whole number of at least zero, or nothing.
[[nodiscard]] std::optional<std::uint64_t> FindCount(
    const boost::json::object& object,
    boost::json::string_view key);

/// Returns a member's number, whole or not, or nothing.
[[nodiscard]] std::optional<double> FindNumber(
    const boost::json::object& object,
    boost::json::string_view key);

/// Returns a member's truth value, or nothing.
[[nodiscard]] std::optional<bool> FindFlag(const boost::json::object& object,
                                           boost::json::string_view key);

/// Returns a member's array, or null.
[[nodiscard]] const boost::json::array* FindArray(
    const boost::json::object& object,
    boost::json::string_view key);

/// Returns a member's object, or null.
[[nodiscard]] const boost::json::object* FindObject(
    const boost::json::object& object,
    boost::json::string_view key);

}  // namespace kingcupshed::platform
