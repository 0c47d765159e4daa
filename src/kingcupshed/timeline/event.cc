#include "kingcupshed/timeline/event.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kingcupshed::timeline {

namespace {

void PutIfSet(boost::json::object& object,
              std::string_view key,
              const std::string& value) {
  if (!value.empty()) {
    object[key] = value;
  }
}

}  // namespace

std::string ToJsonLine(const Event& event) {
  boost::json::object object;
  object["time"] = static_cast<std::uint64_t>(event.time);
  object["process"] = event.process;
  object["part"] = event.part;
  object["kind"] = event.kind;
  PutIfSet(object, "call", event.call);
  PutIfSet(object, "target", event.target);
  PutIfSet(object, "service", event.service);
  PutIfSet(object, "vm", event.vm);
  PutIfSet(object, "detail", event.detail);
  return boost::json::serialize(object);
}

}  // namespace kingcupshed::timeline
