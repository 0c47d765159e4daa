#include "kingcupshed/timeline/line.h"

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

BOOST_AUTO_TEST_SUITE(LineTest)

BOOST_AUTO_TEST_CASE(AnEventComesBackAsItWasWritten) {
  Event event = MakeEvent(117'000'000'000'000'001U, "norr-a-1", "drain_seen");
  event.target = "arendeinfo-3";
  event.detail = "a \"quoted\" word";
  const auto read = ParseJsonLine(ToJsonLine(event));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->time == event.time));
  BOOST_TEST(read->target == event.target);
  BOOST_TEST(read->detail == event.detail);
}

BOOST_AUTO_TEST_CASE(ABadLineIsReportedWithItsPlaceAndTheRestIsKept) {
  Line line;
  const std::string good = ToJsonLine(MakeEvent(7, "a", "started"));
  AddLines("x.events", good + "\n{\"time\":\n\n" + good, line);
  BOOST_TEST(line.events.size() == 2U);
  BOOST_REQUIRE(line.faults.size() == 1U);
  BOOST_TEST(line.faults[0].source == "x.events");
  BOOST_TEST(line.faults[0].line == 2U);
}

BOOST_AUTO_TEST_CASE(AnEventFromAFileAndFromItsVmStandsOnce) {
  Line line;
  const std::string text = ToJsonLine(MakeEvent(7, "a", "started"));
  AddLines("a.events", text, line);
  AddLines("127.0.0.1:8080", text, line);
  Order(line);
  BOOST_TEST(line.events.size() == 1U);
}

BOOST_AUTO_TEST_CASE(FiltersKeepWhatTheyName) {
  Line line;
  line.events = {MakeEvent(1, "a", "started"), MakeEvent(2, "b", "started"),
                 MakeEvent(3, "b", "ended")};
  Filter filter;
  filter.vm = "b";
  filter.kind = "started";
  filter.from = HybridTime{2};
  Apply(filter, line);
  BOOST_REQUIRE(line.events.size() == 1U);
  BOOST_TEST((line.events[0].time == HybridTime{2}));
}

/// Processes whose wall clocks differ exchange messages at random: in the
/// merged line each receipt stands after its sending.
BOOST_AUTO_TEST_CASE(ReceiptsStandAfterTheirSending) {
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
    Line line;
    for (std::size_t i = kProcesses; i > 0; --i) {
      for (const Event& event : recorders[i - 1].events()) {
        AddLines("file", ToJsonLine(event), line);
      }
    }
    Order(line);
    std::map<std::string, bool> sent;
    for (const Event& event : line.events) {
      if (event.kind == "sent") {
        sent[event.call] = true;
      } else {
        RC_ASSERT(sent[event.call]);
      }
    }
    RC_ASSERT(line.events.size() == 2 * steps.size());
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::timeline
