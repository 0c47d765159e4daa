#include "kingcupshed/settings/settings.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::settings {

BOOST_AUTO_TEST_SUITE(ParseSettingsTest)

BOOST_AUTO_TEST_CASE(UnknownAndMissingKeysAreFaults) {
  const ParsedSettings parsed = ParseSettings(R"({"vm": "a", "zoen": "b"})");
  BOOST_REQUIRE(!parsed.faults.empty());
  BOOST_TEST(parsed.faults[0].path == "$.zoen");
}

BOOST_AUTO_TEST_CASE(CompleteSettingsAreAccepted) {
  const ParsedSettings parsed = ParseSettings(R"({
    "vm": "norr-a-1", "zone": "norr-a", "zones": {"norr-a": "norr"},
    "listen": "127.0.1.1:8080", "peer_listen": "127.0.1.1:8081",
    "platform": "127.0.0.1:7000", "stop_grace_ms": 500})");
  BOOST_TEST(parsed.faults.empty());
  BOOST_TEST((parsed.settings.stop_grace == std::chrono::milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::settings
