#include "kingcupshed/timeline/timeline.h"

#include <algorithm>
#include <array>
#include <tuple>

#include <boost/json/parse.hpp>

namespace kingcupshed::timeline {

namespace {

namespace json = boost::json;

constexpr int kHybridCounterBits = 16;

/// A text member of an event with its name in JSON.
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

/// A member of a filter and the member of an event that must equal it.
struct TextCondition {
  std::string Filter::*expected;
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

void AppendJsonLines(std::string_view source,
                     std::string_view text,
                     Timeline& timeline) {
  std::size_t line_number = 0;
  while (!text.empty()) {
    ++line_number;
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty()) {
      continue;
    }
    // Log shippers prepend their own fields to each line.
    const std::size_t start = std::min(line.find('{'), line.size());
    if (auto event = ParseJsonLine(line.substr(start))) {
      timeline.events.push_back(*std::move(event));
    } else {
      timeline.invalid_lines.push_back(
          {std::string(source), line_number, "the line is not an event"});
    }
  }
}

void SortAndDeduplicate(Timeline& timeline) {
  const auto before = [](const Event& a, const Event& b) {
    return SortKey(a) < SortKey(b);
  };
  const auto same = [](const Event& a, const Event& b) {
    return SortKey(a) == SortKey(b);
  };
  std::sort(timeline.events.begin(), timeline.events.end(), before);
  timeline.events.erase(
      std::unique(timeline.events.begin(), timeline.events.end(), same),
      timeline.events.end());
}

bool Matches(const Filter& filter, const Event& event) {
  for (const TextCondition& condition : kConditions) {
    const std::string& expected = filter.*condition.expected;
    if (!expected.empty() && event.*condition.member != expected) {
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

void ApplyFilter(const Filter& filter, Timeline& timeline) {
  std::erase_if(timeline.events,
                [&](const Event& event) { return !Matches(filter, event); });
}

std::uint64_t WallMilliseconds(HybridTime time) noexcept {
  return static_cast<std::uint64_t>(time) >> kHybridCounterBits;
}

}  // namespace kingcupshed::timeline
