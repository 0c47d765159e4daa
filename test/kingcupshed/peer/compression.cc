#include "kingcupshed/peer/compression.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::peer {

namespace {

constexpr std::size_t kMaxBytes = 1'000'000;

std::string MakeRoutesDocument(int count) {
  std::string text;
  for (int at = 0; at < count; ++at) {
    text += R"({"host":"h.example","path_prefix":"/)" + std::to_string(at) +
            R"(/","service":"a","timeout_s":1.2})";
  }
  return text;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Compression)

BOOST_AUTO_TEST_CASE(RestoresTheDocument) {
  for (const int count : {0, 1, 10, 1000}) {
    const std::string text = MakeRoutesDocument(count);
    const auto restored = Decompress(Compress(text), kMaxBytes);
    BOOST_REQUIRE(restored.has_value());
    BOOST_TEST((*restored == text));
  }
}

// A constant text compresses far better than the ratio assumed for the first
// output buffer, so the buffer has to grow several times.
BOOST_AUTO_TEST_CASE(RestoresAHighlyCompressibleDocument) {
  const std::string text(500'000, 'x');
  const auto restored = Decompress(Compress(text), kMaxBytes);
  BOOST_REQUIRE(restored.has_value());
  BOOST_TEST((*restored == text));
}

BOOST_AUTO_TEST_CASE(CompressesRouteTablesAtLeastFiveTimes) {
  const std::string text = MakeRoutesDocument(1300);
  BOOST_TEST(Compress(text).size() * 5 < text.size());
}

BOOST_AUTO_TEST_CASE(RejectsCorruptOrOversizedData) {
  std::string compressed = Compress(MakeRoutesDocument(100));
  BOOST_TEST(!Decompress(compressed, 100).has_value());
  compressed.resize(compressed.size() / 2);
  BOOST_TEST(!Decompress(compressed, kMaxBytes).has_value());
  BOOST_TEST(!Decompress("not compressed", kMaxBytes).has_value());
  BOOST_TEST(!Decompress("", kMaxBytes).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::peer
