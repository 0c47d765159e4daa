#include "kingcupshed/platform/store.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "kingcupshed/core/ids.h"

namespace kingcupshed::platform {

namespace {

std::string EncodeReadHeader(char end_offset, char first_offset) {
  std::string header(16, '\0');
  header[7] = end_offset;
  header[15] = first_offset;
  return header;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(StoreCodec)

BOOST_AUTO_TEST_CASE(DecodesKeysAndValues) {
  const std::string body =
      EncodeReadHeader(9, 0) + EncodeRecord("a", "one") + EncodeRecord("b", {});
  const KeyedPage page = DecodeRead(body, LogOffset{7});
  BOOST_TEST((page.status == StoreStatus::kDone));
  BOOST_REQUIRE_EQUAL(page.records.size(), 2U);
  BOOST_TEST(page.records[0].key == "a");
  BOOST_TEST(page.records[0].value.value() == "one");
  BOOST_TEST(ToIndex(page.records[0].offset) == 7U);
  BOOST_TEST(page.records[1].key == "b");
  BOOST_TEST(!page.records[1].value);
  BOOST_TEST(ToIndex(page.next_offset) == 9U);
}

// The log may grow while the store builds a response. Its end is then past the
// records of the response, and continuing from there would skip some.
BOOST_AUTO_TEST_CASE(ContinuesAfterTheLastRecordReceived) {
  const std::string body = EncodeReadHeader(9, 0) + EncodeRecord("a", "one");
  const KeyedPage page = DecodeRead(body, LogOffset{7});
  BOOST_TEST(ToIndex(page.next_offset) == 8U);
}

BOOST_AUTO_TEST_CASE(StopsAtATruncatedRecord) {
  const std::string record = EncodeRecord("a", "one");
  const std::string body =
      EncodeReadHeader(9, 0) + record + record.substr(0, record.size() - 1);
  const KeyedPage page = DecodeRead(body, LogOffset{7});
  BOOST_TEST(page.records.size() == 1U);
  BOOST_TEST(ToIndex(page.next_offset) == 8U);
  BOOST_TEST(page.truncated);
}

BOOST_AUTO_TEST_CASE(DecodesAPageOfNewestRecords) {
  const ListingPage listing = DecodeNewest(
      R"({"items":[{"key":"config","value":"aGk=","offset":4},)"
      R"({"key":"bad","value":"%%","offset":5}],"has_more":true,"end":6})");
  BOOST_TEST((listing.page.status == StoreStatus::kDone));
  BOOST_REQUIRE_EQUAL(listing.page.records.size(), 1U);
  BOOST_TEST(listing.page.records[0].value.value() == "hi");
  BOOST_TEST(ToIndex(listing.page.next_offset) == 6U);
  BOOST_TEST(listing.has_more);
  // The listing continues after an item that can't be decoded, too.
  BOOST_TEST(listing.last_key.value() == "bad");
}

BOOST_AUTO_TEST_CASE(DecodesAPageWithAKeyThatIsNoText) {
  const ListingPage listing = DecodeNewest(
      "{\"items\":[{\"key\":\"\xff\",\"value\":\"aGk=\",\"offset\":4},"
      R"({"key":"a","value":"aGk=","offset":5},{"key":5}],"end":6})");
  BOOST_TEST((listing.page.status == StoreStatus::kDone));
  BOOST_TEST(listing.page.records.size() == 2U);
  BOOST_TEST(listing.last_key.value() == "a");
}

BOOST_AUTO_TEST_CASE(RejectsMalformedResponses) {
  BOOST_TEST(
      (DecodeRead("short", LogOffset{0}).status == StoreStatus::kNotDone));
  for (const char* body : {"[", R"({"items":3,"end":1})",
                           R"({"items":[],"has_more":"yes","end":1})"}) {
    BOOST_TEST((DecodeNewest(body).page.status == StoreStatus::kNotDone), body);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::platform
