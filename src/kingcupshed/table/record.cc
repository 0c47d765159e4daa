#include "kingcupshed/table/record.h"

#include <cstdint>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/error.hpp>

#include "kingcupshed/table/error.h"

namespace kingcupshed::table {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

leaf::result<std::uint64_t> ReadNumber(const json::object& object,
                                       json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return leaf::new_error(Error::kBadMember);
  }
  return static_cast<std::uint64_t>(value->get_int64());
}

leaf::result<std::string> ReadText(const json::object& object,
                                   json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return leaf::new_error(Error::kBadMember);
  }
  return std::string(value->get_string());
}

leaf::result<StreamRecord> ReadPublication(const json::object& object) {
  Publication publication;
  BOOST_LEAF_AUTO(base, ReadNumber(object, "base"));
  publication.base = TableVersion{base};
  BOOST_LEAF_ASSIGN(publication.author, ReadText(object, "author"));
  BOOST_LEAF_ASSIGN(publication.csv, ReadText(object, "csv"));
  return StreamRecord{std::move(publication)};
}

leaf::result<StreamRecord> ReadCheckpoint(const json::object& object) {
  Checkpoint checkpoint;
  BOOST_LEAF_AUTO(version, ReadNumber(object, "checkpoint"));
  checkpoint.version = TableVersion{version};
  BOOST_LEAF_AUTO(through, ReadNumber(object, "through"));
  checkpoint.end_offset = LogOffset{through};
  BOOST_LEAF_ASSIGN(checkpoint.author, ReadText(object, "author"));
  BOOST_LEAF_ASSIGN(checkpoint.csv, ReadText(object, "csv"));
  return StreamRecord{std::move(checkpoint)};
}

}  // namespace

std::string ToPayload(const Publication& publication) {
  return json::serialize(json::object{{"base", ToIndex(publication.base)},
                                      {"author", publication.author},
                                      {"csv", publication.csv}});
}

std::string ToPayload(const Checkpoint& checkpoint) {
  return json::serialize(
      json::object{{"checkpoint", ToIndex(checkpoint.version)},
                   {"through", ToIndex(checkpoint.end_offset)},
                   {"author", checkpoint.author},
                   {"csv", checkpoint.csv}});
}

leaf::result<StreamRecord> ParsePayload(const std::string& payload) {
  boost::system::error_code error;
  const json::value root = json::parse(payload, error);
  const json::object* object = error ? nullptr : root.if_object();
  if (object == nullptr) {
    return leaf::new_error(Error::kNotJson);
  }
  if (object->contains("checkpoint")) {
    return ReadCheckpoint(*object);
  }
  if (object->contains("base")) {
    return ReadPublication(*object);
  }
  return leaf::new_error(Error::kUnknownKind);
}

}  // namespace kingcupshed::table
