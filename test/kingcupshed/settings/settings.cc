#include "kingcupshed/settings/settings.h"

#include <string>
#include <string_view>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

namespace kingcupshed::settings {

namespace {

constexpr std::string_view kValidSettings = R"({
    "vm": "norr-a-1", "zone": "norr-a", "zones": {"norr-a": "norr"},
    "listen": "127.0.1.1:8080", "peer_listen": "127.0.1.1:8081",
    "platform": "127.0.0.1:7000", "stop_grace_ms": 500})";

}  // namespace

BOOST_AUTO_TEST_SUITE(ParseSettingsTest)

BOOST_AUTO_TEST_CASE(UnknownAndMissingKeysAreErrors) {
  const ParsedSettings parsed = ParseSettings(R"({"vm": "a", "zoen": "b"})");
  BOOST_REQUIRE(!parsed.errors.empty());
  BOOST_TEST(parsed.errors[0].path == "$.zoen");
}

BOOST_AUTO_TEST_CASE(CompleteSettingsAreAccepted) {
  const ParsedSettings parsed = ParseSettings(kValidSettings);
  BOOST_TEST(parsed.errors.empty());
  BOOST_TEST((parsed.settings.stop_grace == std::chrono::milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(UnknownKeyErrorNamesMostSimilarKey) {
  const ParsedSettings parsed = ParseSettings(R"({"zoen": "norr-a"})");
  BOOST_REQUIRE(!parsed.errors.empty());
  BOOST_TEST(parsed.errors[0].message.find("'zone'") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(EachInvalidValueIsAnErrorWithItsPath) {
  struct Case {
    const char* key;
    const char* value;
  };
  for (const Case& invalid : {Case{"vm", "3"},
                              Case{"vm", "\"\""},
                              Case{"zone", "\"elsewhere\""},
                              Case{"zones", "{}"},
                              Case{"zones", R"({"norr-a": 1})"},
                              Case{"listen", "\"8080\""},
                              Case{"listen", "\"127.0.0.1:0\""},
                              Case{"listen", "\"127.0.0.1:65536\""},
                              Case{"listen", "\"host:80\""},
                              Case{"peer_listen", "\"127.0.1.1:8080\""},
                              Case{"platform", "true"},
                              Case{"policy", "\"best\""},
                              Case{"max_vms", "0"},
                              Case{"max_vms", "4097"},
                              Case{"max_vms", "1.5"},
                              Case{"log_level", "\"loud\""},
                              Case{"event_capacity", "0"},
                              Case{"stop_grace_ms", "-1"},
                              Case{"stop_grace_ms", "600001"},
                              Case{"checkpoint_interval_ms", "999"}}) {
    boost::json::object object = boost::json::parse(kValidSettings).as_object();
    object[invalid.key] = boost::json::parse(invalid.value);
    const ParsedSettings parsed = ParseSettings(boost::json::serialize(object));
    BOOST_TEST_CONTEXT(invalid.key << " " << invalid.value) {
      BOOST_REQUIRE(parsed.errors.size() == 1U);
      const std::string& path = parsed.errors[0].path;
      BOOST_TEST(path.rfind(std::string("$.") + invalid.key, 0) == 0U);
      BOOST_TEST(!parsed.errors[0].expected.empty());
    }
  }
}

// Deployment templates write null for optional settings that are not provided.
BOOST_AUTO_TEST_CASE(NullOptionalKeyKeepsItsDefault) {
  boost::json::object object = boost::json::parse(kValidSettings).as_object();
  const Settings defaults;
  for (const char* key :
       {"retry_ratio", "retry_window_s", "retry_slack", "probes_per_target_s",
        "store_reads_per_s", "stop_limit_s", "first_start"}) {
    object[key] = nullptr;
  }
  const ParsedSettings parsed = ParseSettings(boost::json::serialize(object));
  BOOST_REQUIRE(parsed.errors.empty());
  BOOST_TEST(parsed.settings.retry_ratio == defaults.retry_ratio);
  BOOST_TEST((parsed.settings.retry_window == defaults.retry_window));
  object["vm"] = nullptr;
  BOOST_TEST(!ParseSettings(boost::json::serialize(object)).errors.empty());
}

BOOST_AUTO_TEST_CASE(DuplicateKeyIsAnError) {
  std::string text(kValidSettings);
  text.insert(1, R"("zones": {"x": "y", "x": "z"}, )");
  const ParsedSettings parsed = ParseSettings(text);
  BOOST_REQUIRE(parsed.errors.size() == 2U);
  BOOST_TEST(parsed.errors[0].path == "$.zones.x");
  BOOST_TEST(parsed.errors[1].path == "$.zones");
}

BOOST_AUTO_TEST_CASE(SyntaxErrorReportsItsLine) {
  const ParsedSettings parsed = ParseSettings("{\n\"vm\": \"a\",\n}");
  BOOST_REQUIRE(parsed.errors.size() == 1U);
  BOOST_TEST(parsed.errors[0].path == "line 3");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::settings
