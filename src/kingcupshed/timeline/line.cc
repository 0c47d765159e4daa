#include "kingcupshed/timeline/line.h"

#include <algorithm>
#include <array>
#include <tuple>

#include <boost/json/parse.hpp>

namespace kingcupshed::timeline {

namespace {

namespace json = boost::json;

constexpr int kCounterBits = 16;

/// A text member of an event, by its name in JSON.
struct TextMember {
  std::string_view name;
  std::string Event::*member;
};

constexpr std::array kTextMembers{TextMember{"process", &Event::process},
                                  TextMember{"part", &Event::part},
                                  TextMember{"kind", &Event::kind},
                                  TextMember{"call", &Event::call},
                                  TextMember{"target", &Event::target},
                                  TextMember{"vm", &Event::vm},
                                  TextMember{"service", &Event::service},
                                  TextMember{"detail", &Event::detail}};

/// A member of a filter and the member of an event that it has to equal.
struct TextCondition {
  std::string Filter::*wanted;
  std::string Event::*member;
};

constexpr std::array kConditions{
    TextCondition{&Filter::call, &Event::call},
    TextCondition{&Filter::target, &Event::target},
    TextCondition{&Filter::service, &Event::service},
    TextCondition{&Filter::part, &Event::part},
    TextCondition{&Filter::kind, &Event::kind}};

auto SortKey(const Event& event) {
  return std::tie(event.time, event.process, event.part, event.kind, event.call,
                  event.target, event.service, event.vm, event.detail);
}

}  // namespace

std::optional<Event> ParseJsonLine(std::string_view text) {
  boost::system::error_code error;
  const json::value value = json::parse({text.data(), text.size()}, error);
  const json::object* object = value.if_object();
  if (error || object == nullptr) {
    return std::nullopt;
  }
  Event event;
  const json::value* time = object->if_contains("time");
  if (time == nullptr || !time->is_number()) {
    return std::nullopt;
  }
  event.time = HybridTime{time->to_number<std::uint64_t>(error)};
  for (const TextMember& member : kTextMembers) {
    const json::value* found = object->if_contains(member.name);
    if (found == nullptr) {
      continue;
    }
    if (!found->is_string()) {
      return std::nullopt;
    }
    event.*member.member = std::string(found->get_string());
  }
  if (error || event.process.empty() || event.kind.empty()) {
    return std::nullopt;
  }
  return event;
}

void AddLines(std::string_view source, std::string_view text, Line& line) {
  std::size_t number = 0;
  while (!text.empty()) {
    ++number;
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view row = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (row.empty()) {
      continue;
    }
    // Log shippers put fields of their own before each line.
    const std::size_t start = std::min(row.find('{'), row.size());
    if (auto event = ParseJsonLine(row.substr(start))) {
      line.events.push_back(*std::move(event));
    } else {
      line.faults.push_back(
          {std::string(source), number, "the line is no event"});
    }
  }
}

void Order(Line& line) {
  const auto before = [](const Event& a, const Event& b) {
    return SortKey(a) < SortKey(b);
  };
  const auto same = [](const Event& a, const Event& b) {
    return SortKey(a) == SortKey(b);
  };
  std::sort(line.events.begin(), line.events.end(), before);
  line.events.erase(std::unique(line.events.begin(), line.events.end(), same),
                    line.events.end());
}

bool Matches(const Filter& filter, const Event& event) {
  for (const TextCondition& condition : kConditions) {
    const std::string& wanted = filter.*condition.wanted;
    if (!wanted.empty() && event.*condition.member != wanted) {
      return false;
    }
  }
  if (!filter.vm.empty() && event.process != filter.vm &&
      event.vm != filter.vm) {
    return false;
  }
  if (filter.from && event.time < *filter.from) {
    return false;
  }
  return !filter.to || event.time <= *filter.to;
}

void Apply(const Filter& filter, Line& line) {
  std::erase_if(line.events,
                [&](const Event& event) { return !Matches(filter, event); });
}

std::uint64_t WallMilliseconds(HybridTime time) noexcept {
  return static_cast<std::uint64_t>(time) >> kCounterBits;
}

}  // namespace kingcupshed::timeline
