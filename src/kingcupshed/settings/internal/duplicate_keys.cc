#include "kingcupshed/settings/internal/duplicate_keys.h"

#include <set>
#include <utility>

#include <boost/json/basic_parser_impl.hpp>

namespace kingcupshed::settings::internal {

namespace {

namespace json = boost::json;

/// SAX handler that collects the keys of each open object.
struct KeyHandler {
  // basic_parser requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = std::size_t(-1);
  static constexpr std::size_t max_array_size = std::size_t(-1);
  static constexpr std::size_t max_key_size = std::size_t(-1);
  static constexpr std::size_t max_string_size = std::size_t(-1);
  // NOLINTEND(readability-identifier-naming)

  using Code = boost::system::error_code;

  struct OpenObject {
    std::set<std::string> keys;
    /// Key whose value is being parsed.
    std::string current_key;
  };

  /// Objects that enclose the parser's position, outermost first.
  std::vector<OpenObject> open;
  /// Parts of an incomplete key.
  std::string key;
  /// JSON paths of the duplicate keys.
  std::vector<std::string> duplicates;

  bool on_object_begin(Code& /*error*/) {
    open.emplace_back();
    return true;
  }
  bool on_object_end(std::size_t /*count*/, Code& /*error*/) {
    open.pop_back();
    return true;
  }
  bool on_key_part(json::string_view part,
                   std::size_t /*count*/,
                   Code& /*error*/) {
    key.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, std::size_t /*count*/, Code& /*error*/) {
    key.append(part.data(), part.size());
    open.back().current_key = std::exchange(key, {});
    if (!open.back().keys.insert(open.back().current_key).second) {
      duplicates.push_back(Path());
    }
    return true;
  }

  /// Returns the JSON path of the current key.
  [[nodiscard]] std::string Path() const {
    std::string path = "$";
    for (const OpenObject& object : open) {
      path += "." + object.current_key;
    }
    return path;
  }

  static bool on_document_begin(Code& /*error*/) { return true; }
  static bool on_document_end(Code& /*error*/) { return true; }
  static bool on_array_begin(Code& /*error*/) { return true; }
  static bool on_array_end(std::size_t /*count*/, Code& /*error*/) {
    return true;
  }
  static bool on_string_part(json::string_view /*part*/,
                             std::size_t /*count*/,
                             Code& /*error*/) {
    return true;
  }
  static bool on_string(json::string_view /*part*/,
                        std::size_t /*count*/,
                        Code& /*error*/) {
    return true;
  }
  static bool on_number_part(json::string_view /*part*/, Code& /*error*/) {
    return true;
  }
  static bool on_int64(std::int64_t /*value*/,
                       json::string_view /*text*/,
                       Code& /*error*/) {
    return true;
  }
  static bool on_uint64(std::uint64_t /*value*/,
                        json::string_view /*text*/,
                        Code& /*error*/) {
    return true;
  }
  static bool on_double(double /*value*/,
                        json::string_view /*text*/,
                        Code& /*error*/) {
    return true;
  }
  static bool on_bool(bool /*value*/, Code& /*error*/) { return true; }
  static bool on_null(Code& /*error*/) { return true; }
  static bool on_comment_part(json::string_view /*part*/, Code& /*error*/) {
    return true;
  }
  static bool on_comment(json::string_view /*part*/, Code& /*error*/) {
    return true;
  }
};

}  // namespace

std::vector<std::string> FindDuplicateKeys(std::string_view text) {
  json::basic_parser<KeyHandler> parser(json::parse_options{});
  boost::system::error_code error;
  parser.write_some(false, text.data(), text.size(), error);
  return std::move(parser.handler().duplicates);
}

}  // namespace kingcupshed::settings::internal
