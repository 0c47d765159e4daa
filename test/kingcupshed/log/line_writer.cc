#include "kingcupshed/log/line_writer.h"

#include <array>
#include <string>

#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::log {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(10)};

struct Pipe {
  Pipe() { BOOST_REQUIRE(pipe(ends.data()) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }
  std::array<int, 2> ends{};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(LineWriterTest)

BOOST_AUTO_TEST_CASE(WritesLineWithLineBreak) {
  const Pipe pipe;
  LineWriter writer(pipe.ends[1], 10.0);
  BOOST_TEST(writer.Write("hello", kStart));
  std::array<char, 16> text{};
  BOOST_REQUIRE(read(pipe.ends[0], text.data(), text.size()) == 6);
  BOOST_TEST(std::string(text.data(), 6) == "hello\n");
}

BOOST_AUTO_TEST_CASE(DropsLinesAboveTheRateLimit) {
  const Pipe pipe;
  LineWriter writer(pipe.ends[1], 2.0);
  BOOST_TEST(writer.Write("a", kStart));
  BOOST_TEST(writer.Write("b", kStart));
  BOOST_TEST(!writer.Write("c", kStart));
  BOOST_TEST(writer.TakeDroppedCount() == 1U);
  BOOST_TEST(writer.TakeDroppedCount() == 0U);
  BOOST_TEST(writer.Write("d", kStart + std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(DoesNotBlockOnFullPipe) {
  const Pipe pipe;
  constexpr int kLines = 200'000;
  LineWriter writer(pipe.ends[1], kLines);
  int written = 0;
  for (int i = 0; i < kLines; ++i) {
    written += writer.Write("a line that nobody reads", kStart) ? 1 : 0;
  }
  BOOST_TEST(written < kLines);
  BOOST_TEST(writer.TakeDroppedCount() ==
             static_cast<std::uint64_t>(kLines - written));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::log
