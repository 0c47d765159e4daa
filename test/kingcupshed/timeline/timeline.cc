#include "kingcupshed/timeline/timeline.h"

#include <algorithm>
#include <map>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "kingcupshed/timeline/recorder.h"

namespace kingcupshed::timeline {

namespace {

Event MakeEvent(std::uint64_t time, std::string process, std::string kind) {
  Event event;
  event.time = HybridTime{time};
  event.process = std::move(process);
  event.kind = std::move(kind);
  event.part = "routing";
  return event;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TimelineTest)

BOOST_AUTO_TEST_CASE(ParsesSerializedEvent) {
  Event event = MakeEvent(117'000'000'000'000'001U, "norr-a-1", "drain_seen");
  event.target = "arendeinfo-3";
  event.detail = "a \"quoted\" word";
  const auto parsed = ParseJsonLine(ToJsonLine(event));
  BOOST_REQUIRE(parsed.has_value());
  BOOST_TEST((parsed->time == event.time));
  BOOST_TEST(parsed->target == event.target);
  BOOST_TEST(parsed->detail == event.detail);
}

BOOST_AUTO_TEST_CASE(ReportsInvalidLineAndKeepsTheRest) {
  Timeline timeline;
  const std::string good = ToJsonLine(MakeEvent(7, "a", "started"));
  AppendJsonLines("x.events", good + "\n{\"time\":\n\n" + good, timeline);
  BOOST_TEST(timeline.events.size() == 2U);
  BOOST_REQUIRE(timeline.invalid_lines.size() == 1U);
  BOOST_TEST(timeline.invalid_lines[0].source == "x.events");
  BOOST_TEST(timeline.invalid_lines[0].line == 2U);
}

BOOST_AUTO_TEST_CASE(RemovesDuplicateFromFileAndVm) {
  Timeline timeline;
  const std::string text = ToJsonLine(MakeEvent(7, "a", "started"));
  AppendJsonLines("a.events", text, timeline);
  AppendJsonLines("127.0.0.1:8080", text, timeline);
  SortAndDeduplicate(timeline);
  BOOST_TEST(timeline.events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(FilterKeepsMatchingEvents) {
  Timeline timeline;
  timeline.events = {MakeEvent(1, "a", "started"), MakeEvent(2, "b", "started"),
                     MakeEvent(3, "b", "ended")};
  Filter filter;
  filter.vm = "b";
  filter.kind = "started";
  filter.from = HybridTime{2};
  ApplyFilter(filter, timeline);
  BOOST_REQUIRE(timeline.events.size() == 1U);
  BOOST_TEST((timeline.events[0].time == HybridTime{2}));
}

// Processes with skewed wall clocks exchange random messages. The merged
// timeline must list each receipt after the corresponding send.
BOOST_AUTO_TEST_CASE(ReceiptsFollowTheirSends) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t>& steps) {
    constexpr std::size_t kProcesses = 3;
    std::vector<Recorder> recorders;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      recorders.emplace_back(std::string(1, static_cast<char>('a' + i)), 4096);
    }
    WallTime now{std::chrono::hours(1000)};
    for (std::size_t i = 0; i < steps.size(); ++i) {
      now += std::chrono::milliseconds(steps[i] % 3);
      const std::size_t from = steps[i] % kProcesses;
      const std::size_t to = steps[i] / 3 % kProcesses;
      const auto wall = [&](std::size_t process) {
        return now + std::chrono::seconds(process * 7);
      };
      Event sent = MakeEvent(0, "", "sent");
      sent.call = std::to_string(i);
      Event received = sent;
      received.kind = "received";
      recorders[from].Record(sent, wall(from));
      recorders[to].clock().Observe(recorders[from].clock().last(), wall(to));
      recorders[to].Record(received, wall(to));
    }
    Timeline timeline;
    for (std::size_t i = kProcesses; i > 0; --i) {
      for (const Event& event : recorders[i - 1].events()) {
        AppendJsonLines("file", ToJsonLine(event), timeline);
      }
    }
    SortAndDeduplicate(timeline);
    std::map<std::string, bool> sent;
    for (const Event& event : timeline.events) {
      if (event.kind == "sent") {
        sent[event.call] = true;
      } else {
        RC_ASSERT(sent[event.call]);
      }
    }
    RC_ASSERT(timeline.events.size() == 2 * steps.size());
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::timeline
