#include "kingcupshed/platform/store.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::platform {

namespace {

std::string ReadHead(char end, char first) {
  std::string head(16, '\0');
  head[7] = end;
  head[15] = first;
  return head;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(StoreCodec)

BOOST_AUTO_TEST_CASE(ReadsKeysAndValues) {
  const std::string body =
      ReadHead(9, 0) + EncodeRecord("a", "one") + EncodeRecord("b", {});
  const KeyedPage page = DecodeRead(body, LogOffset{7});
  BOOST_TEST((page.status == StoreStatus::kDone));
  BOOST_REQUIRE_EQUAL(page.records.size(), 2U);
  BOOST_TEST(page.records[0].key == "a");
  BOOST_TEST(page.records[0].value.value() == "one");
  BOOST_TEST(ToIndex(page.records[0].offset) == 7U);
  BOOST_TEST(page.records[1].key == "b");
  BOOST_TEST(!page.records[1].value);
  BOOST_TEST(ToIndex(page.next) == 9U);
}

// The log may have grown while an answer was made: its end is then beyond the
// records of the answer, and reading on from there would skip some.
BOOST_AUTO_TEST_CASE(ReadsOnAfterTheRecordsThatCame) {
  const std::string body = ReadHead(9, 0) + EncodeRecord("a", "one");
  const KeyedPage page = DecodeRead(body, LogOffset{7});
  BOOST_TEST(ToIndex(page.next) == 8U);
}

BOOST_AUTO_TEST_CASE(StopsAtARecordThatIsCutShort) {
  const std::string whole = EncodeRecord("a", "one");
  const std::string body =
      ReadHead(9, 0) + whole + whole.substr(0, whole.size() - 1);
  const KeyedPage page = DecodeRead(body, LogOffset{7});
  BOOST_TEST(page.records.size() == 1U);
  BOOST_TEST(ToIndex(page.next) == 8U);
}

BOOST_AUTO_TEST_CASE(ReadsAPageOfNewestRecords) {
  bool more = false;
  const KeyedPage page = DecodeNewest(
      R"({"items":[{"key":"config","value":"aGk=","offset":4},)"
      R"({"key":"bad","value":"%%","offset":5}],"has_more":true,"end":6})",
      more);
  BOOST_TEST((page.status == StoreStatus::kDone));
  BOOST_REQUIRE_EQUAL(page.records.size(), 1U);
  BOOST_TEST(page.records[0].value.value() == "hi");
  BOOST_TEST(ToIndex(page.next) == 6U);
  BOOST_TEST(more);
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNoAnswer) {
  bool more = false;
  BOOST_TEST(
      (DecodeRead("short", LogOffset{0}).status == StoreStatus::kNotDone));
  BOOST_TEST((DecodeNewest("[", more).status == StoreStatus::kNotDone));
  BOOST_TEST((DecodeNewest(R"({"items":3,"end":1})", more).status ==
              StoreStatus::kNotDone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::platform
