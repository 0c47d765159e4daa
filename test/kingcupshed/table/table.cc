#include "kingcupshed/table/table.h"

#include <fstream>
#include <iterator>
#include <string>

#include <boost/test/unit_test.hpp>

namespace kingcupshed::table {

namespace {

constexpr std::string_view kHeader =
    "service,rank,weight,concurrency_limit,queue_limit,rate_limit_per_s,"
    "deadline_ms,retry_share,hedge_share,semantics,measure_budget_ms_per_s,"
    "cross_region_bytes_per_s\n";

std::string WithHeader(std::string_view rows) {
  return std::string(kHeader) + std::string(rows);
}

std::string ReadExample(const std::string& name) {
  std::ifstream file(std::string(std::getenv("KINGCUPSHED_ROOT")) +
                     "/examples/" + name + "/table.csv");
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ParseTableTest)

BOOST_AUTO_TEST_CASE(ExamplesAreAccepted) {
  for (const char* name : {"norrvik", "lestage"}) {
    const ParsedTable parsed = ParseTable(ReadExample(name));
    BOOST_TEST(parsed.errors.empty());
    BOOST_TEST(parsed.table.rows.size() == 9U);
  }
}

BOOST_AUTO_TEST_CASE(EachFaultNamesLineAndColumn) {
  const ParsedTable parsed =
      ParseTable(WithHeader("a,1,x,1,0,1,1,0,0,idempotent,0,0\n"
                            "a,4,1,1,0,1,1,0,0,sometimes,0,0\n"));
  BOOST_REQUIRE(parsed.errors.size() == 3U);
  BOOST_TEST(parsed.errors[0].line == 2U);
  BOOST_TEST(parsed.errors[0].column == "weight");
  BOOST_TEST(parsed.errors[1].column == "rank");
  BOOST_TEST(parsed.errors[2].column == "semantics");
  BOOST_TEST(parsed.errors[2].expected == "idempotent or at-most-once");
}

BOOST_AUTO_TEST_CASE(DuplicateRowIsAFault) {
  const ParsedTable parsed =
      ParseTable(WithHeader("a,1,1,1,0,1,1,0,0,idempotent,0,0\n"
                            "a,1,1,1,0,1,1,0,0,idempotent,0,0\n"));
  BOOST_REQUIRE(parsed.errors.size() == 1U);
  BOOST_TEST(parsed.errors[0].line == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::table
