#include "kingcupshed/table/version_log.h"

#include <optional>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace kingcupshed::table {

namespace {

namespace json = boost::json;

std::optional<Publication> ReadPublication(const std::string& payload) {
  boost::system::error_code error;
  const json::value root = json::parse(payload, error);
  const json::object* object = error ? nullptr : root.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* base = object->if_contains("base");
  const json::value* csv = object->if_contains("csv");
  const json::value* author = object->if_contains("author");
  if (base == nullptr || !base->is_int64() || csv == nullptr ||
      !csv->is_string() || author == nullptr || !author->is_string()) {
    return std::nullopt;
  }
  Publication publication;
  publication.base =
      TableVersion{static_cast<std::uint64_t>(base->get_int64())};
  publication.author = std::string(author->get_string());
  publication.csv = std::string(csv->get_string());
  return publication;
}

}  // namespace

std::string ToPayload(const Publication& publication) {
  json::object object;
  object["base"] = static_cast<std::int64_t>(ToIndex(publication.base));
  object["author"] = publication.author;
  object["csv"] = publication.csv;
  return json::serialize(object);
}

Verdict VersionLog::Apply(const LogRecord& record) {
  if (record.offset < next_) {
    return Verdict::kIgnored;
  }
  next_ = LogOffset{ToIndex(record.offset) + 1};
  auto publication = ReadPublication(record.payload);
  if (!publication) {
    return Verdict::kIgnored;
  }
  if (publication->base != in_force_.version) {
    return Verdict::kLostRace;
  }
  ParsedTable parsed = ParseTable(publication->csv);
  if (!parsed.faults.empty()) {
    return Verdict::kInvalid;
  }
  in_force_ = std::move(parsed.table);
  in_force_.version = TableVersion{ToIndex(publication->base) + 1};
  csv_ = std::move(publication->csv);
  return Verdict::kAccepted;
}

}  // namespace kingcupshed::table
