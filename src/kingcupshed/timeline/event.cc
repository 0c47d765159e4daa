#include "kingcupshed/timeline/event.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kingcupshed::timeline {

namespace {

void AddUnlessEmpty(boost::json::object& object,
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
  AddUnlessEmpty(object, "call", event.call);
  AddUnlessEmpty(object, "target", event.target);
  AddUnlessEmpty(object, "service", event.service);
  AddUnlessEmpty(object, "vm", event.vm);
  AddUnlessEmpty(object, "detail", event.detail);
  return boost::json::serialize(object);
}

}  // namespace kingcupshed::timeline
