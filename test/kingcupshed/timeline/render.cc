#include "kingcupshed/timeline/render.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::timeline {

namespace {

constexpr std::uint64_t kNoonMs = 1'796'385'600'000;

Timeline MakeTimeline() {
  Timeline timeline;
  Event event;
  event.time = HybridTime{kNoonMs << 16U};
  event.process = "norr-a-1";
  event.part = "table";
  event.kind = "table_in_force";
  event.detail = "</script><b>";
  timeline.events = {event};
  timeline.invalid_lines = {{"a.events", 3, "the line is not an event"}};
  return timeline;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RenderTest)

BOOST_AUTO_TEST_CASE(TextHasWallTimeProcessAndDetail) {
  BOOST_TEST(ToText(MakeTimeline()) ==
             "2026-12-04T12:00:00.000Z norr-a-1 table: table_in_force "
             "(</script><b>)\n");
}

BOOST_AUTO_TEST_CASE(JsonHasEventsAndInvalidLines) {
  const auto root = boost::json::parse(ToJson(MakeTimeline()));
  BOOST_TEST(root.at("events").as_array().size() == 1U);
  BOOST_TEST(root.at("faults").at(0).at("line").as_int64() == 3);
}

BOOST_AUTO_TEST_CASE(EventTextCannotEndThePageScript) {
  const std::string page = ToHtml(MakeTimeline());
  BOOST_TEST(page.find("</script><b>") == std::string::npos);
  BOOST_TEST(page.find("http://") == page.rfind("http://"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::timeline
