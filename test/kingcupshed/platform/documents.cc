#include "kingcupshed/platform/documents.h"

#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/platform/header_scheme.h"

namespace kingcupshed::platform {

namespace {

constexpr const char* kRoutes = R"({"version":"r7","routes":[
  {"name":"r-1","host":"a.example","path_prefix":"/x/","kind":"safe",
   "timeout_s":1.2,"latency_goal_s":0.2,"priority":0,
   "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":2},
  {"name":"r-2","host":"b.example","path_prefix":"/y/","kind":"unsafe",
   "timeout_s":0.8,"latency_goal_s":0.25,"priority":7,"service":"s2",
   "max_attempts":1}],
  "services":[{"name":"s1","health_path":"/h","max_conns":240},
              {"name":"s2","health_path":"/health","max_conns":9}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":1000,
            "header_timeout_s":3,"idle_timeout_s":15},
  "unknown":true})";

constexpr const char* kTarget = R"({"addr":"10.128.0.9:8080","born":1700000,
  "info":{"service":"s1","version":"v1","zone":"z","slots":3},
  "status":{"state":"ready","seq":4,"warmup_left_s":1.5}})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const std::size_t at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Documents)

BOOST_AUTO_TEST_CASE(DecodesRoutes) {
  const auto table = DecodeRoutes(kRoutes);
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(ToIndex(table->version) == 7U);
  BOOST_REQUIRE_EQUAL(table->routes.size(), 2U);
  const route::Route& first = table->routes.front();
  BOOST_TEST(first.host == "a.example");
  BOOST_TEST(first.prefix == "/x/");
  BOOST_TEST((first.semantics == table::Semantics::kIdempotent));
  BOOST_TEST((first.rank == Rank::kUrgent));
  BOOST_TEST(ToMilliseconds(first.timeout) == 1200.0);
  BOOST_TEST(ToMilliseconds(first.objective) == 200.0);
  BOOST_TEST(first.max_attempts == 2U);
  BOOST_REQUIRE_EQUAL(first.weighted_services.size(), 2U);
  BOOST_TEST(first.weighted_services[1].weight == 10.0);
  const route::Route& second = table->routes.back();
  BOOST_TEST((second.semantics == table::Semantics::kAtMostOnce));
  BOOST_TEST((second.rank == Rank::kBulk));
  BOOST_TEST(table->services.front().health_path == "/h");
  BOOST_TEST(table->services.front().max_connections == 240U);
  BOOST_TEST(table->limits.body_bytes == 1000U);
  BOOST_TEST(ToMilliseconds(table->limits.idle_timeout) == 15000.0);
}

BOOST_AUTO_TEST_CASE(RejectsInvalidRoutes) {
  BOOST_TEST(!DecodeRoutes("").has_value());
  BOOST_TEST(!DecodeRoutes("{\"version\":").has_value());
  BOOST_TEST(!DecodeRoutes(Replace(kRoutes, "\"r7\"", "7")).has_value());
  BOOST_TEST(!DecodeRoutes(Replace(kRoutes, "\"host\":\"a.example\",", ""))
                  .has_value());
  BOOST_TEST(!DecodeRoutes(Replace(kRoutes, "\"timeout_s\":1.2", "\"t\":1"))
                  .has_value());
}

BOOST_AUTO_TEST_CASE(HealthPathIsOneOfARequest) {
  const auto table =
      DecodeRoutes(Replace(kRoutes, "\"/h\"", "\"/h 1\\r\\nX: y\""));
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(table->services.front().health_path == "/h%201%0d%0aX:%20y");
}

// Work of a kind that this version of the software doesn't know must not run
// twice.
BOOST_AUTO_TEST_CASE(TreatsUnknownKindsAsAtMostOnce) {
  const auto table = DecodeRoutes(Replace(kRoutes, "\"safe\"", "\"new\""));
  BOOST_REQUIRE(table.has_value());
  BOOST_TEST(
      (table->routes.front().semantics == table::Semantics::kAtMostOnce));
}

BOOST_AUTO_TEST_CASE(DecodesATarget) {
  const auto report = DecodeTarget("i-1", kTarget);
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(report->name == "i-1");
  BOOST_TEST(report->service == "s1");
  BOOST_TEST(report->zone == "z");
  BOOST_TEST(report->address == "10.128.0.9:8080");
  BOOST_TEST(report->slots == 3U);
  BOOST_TEST(!report->draining);
  BOOST_TEST(report->incarnation == 1'700'000U);
  BOOST_TEST(report->sequence == 4U);
  BOOST_TEST(ToMilliseconds(report->warmup_remaining) == 1500.0);
}

BOOST_AUTO_TEST_CASE(RejectsMalformedTargets) {
  const std::vector<std::pair<std::string, std::string>> corruptions{
      {"\"addr\":\"10.128.0.9:8080\",", ""},
      {"\"addr\":\"10.128.0.9:8080\"", "\"addr\":5"},
      {"10.128.0.9:8080", "nowhere"},
      {"10.128.0.9:8080", "10.128.0.9:0"},
      {"10.128.0.9:8080", "[fe80::1%\\r\\nX: y]:8080"},
      {"\"service\":\"s1\"", "\"service\":null"},
      {"\"ready\"", "\"sleeping\""},
      {"\"seq\":4", "\"seq\":\"4\""},
      {"\"slots\":3", "\"slots\":-3"},
      {"\"born\":1700000", "\"born\":17.5"},
      {"\"info\"", "\"other\""}};
  for (const auto& [from, to] : corruptions) {
    BOOST_TEST(!DecodeTarget("i-1", Replace(kTarget, from, to)).has_value(),
               to);
  }
  BOOST_TEST(!DecodeTarget("i-1", "\xff\xfe").has_value());
}

BOOST_AUTO_TEST_CASE(RejectsNamesThatMeanSomethingElseElsewhere) {
  const std::string vm = EncodeVm("z", "10.1.0.1:7540");
  for (const std::string name : {"i-1", "i-7f3a91c2", "a.b:c@d_e~f"}) {
    BOOST_TEST(DecodeTarget(name, kTarget).has_value(), name);
    BOOST_TEST(DecodeVm(name, vm).has_value(), name);
  }
  for (const std::string name :
       {"", "a&b", "a+b", "a#b", "a%b", "a b", "a/b", "a?b", "a\r\nX: y",
        "a\x7f", "a\xff", "a\"b"}) {
    BOOST_TEST(!DecodeTarget(name, kTarget).has_value(), name);
    BOOST_TEST(!DecodeVm(name, vm).has_value(), name);
  }
}

BOOST_AUTO_TEST_CASE(IgnoresTimesThatNoOneMeans) {
  for (const char* seconds : {"-1", "1e300", "1e999", "\"soon\""}) {
    const auto report = DecodeTarget(
        "i-1", Replace(kTarget, "\"warmup_left_s\":1.5",
                       "\"warmup_left_s\":" + std::string(seconds)));
    BOOST_TEST((!report || report->warmup_remaining == Duration::zero()),
               seconds);
  }
}

BOOST_AUTO_TEST_CASE(ParsesLoadHeaders) {
  const auto load = ParseLoadHeader("3,1,8,250");
  BOOST_REQUIRE(load.has_value());
  BOOST_TEST(load->in_flight == 3U);
  BOOST_TEST(load->queued == 1U);
  BOOST_TEST(load->slots == 8U);
  BOOST_TEST(load->slowdown == 2.5);
  BOOST_TEST(ParseLoadHeader("3,0,8")->slowdown == 1.0);
  BOOST_TEST(!ParseLoadHeader("3,0").has_value());
  BOOST_TEST(!ParseLoadHeader("").has_value());
  BOOST_TEST(!ParseLoadHeader("a,b,c").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::platform
