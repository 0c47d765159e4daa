#include "kingcupshed/platform/store.h"

#include <algorithm>
#include <utility>

#include <absl/strings/escaping.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/parse_options.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/http/fetch.h"
#include "kingcupshed/platform/json_read.h"
#include "kingcupshed/platform/url.h"

namespace kingcupshed::platform {

namespace {

namespace asio = boost::asio;
namespace endian = boost::endian;
namespace json = boost::json;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusGone = 410;
/// A few round trips between regions. An unreachable store is retried soon
/// after, so its recovery is noticed within a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration kResponseTimeout = std::chrono::milliseconds(1500);
/// Added to the wait of a long poll as its timeout: a few round trips between
/// regions. A slower store is read without waiting instead.
constexpr Duration kPollTimeoutMargin = std::chrono::milliseconds(300);
/// Limit on the pages of a listing. A page holds 500 keys, so this covers more
/// keys than any deployment has.
constexpr int kMaxPages = 64;
/// Length from which the response to a read may lack records that didn't fit:
/// half of the length that the store allows, since a record can be long.
constexpr std::size_t kLongResponseBytes = 512UL * 1024;

/// Returns true if a status code guarantees that the call had no effect.
bool GuaranteesNoEffect(unsigned code) {
  constexpr unsigned kFirstClientError = 400;
  constexpr unsigned kFirstServerError = 500;
  constexpr unsigned kUnavailable = 503;
  return (code >= kFirstClientError && code < kFirstServerError) ||
         code == kUnavailable;
}

/// Returns an unsigned member of a body that should be a JSON object.
std::optional<std::uint64_t> FindUnsignedIn(const std::string& body,
                                            json::string_view key) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  return object == nullptr ? std::nullopt : FindUnsigned(*object, key);
}

StoreStatus StatusOf(const http::FetchResult& response) {
  switch (response.status) {
    case http::FetchStatus::kNotSent:
      return StoreStatus::kNotDone;
    case http::FetchStatus::kNoResponse:
      return StoreStatus::kUnknown;
    case http::FetchStatus::kCompleted:
      break;
  }
  if (response.code == kStatusGone) {
    return StoreStatus::kExpired;
  }
  return response.code == kStatusOk ? StoreStatus::kDone
                                    : StoreStatus::kNotDone;
}

std::uint64_t LoadBig64(const std::string& bytes, std::size_t at) {
  return endian::load_big_u64(
      reinterpret_cast<const unsigned char*>(bytes.data() + at));
}

std::uint32_t LoadBig32(const std::string& bytes, std::size_t at) {
  return endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(bytes.data() + at));
}

}  // namespace

RawPage DecodeRawRead(const std::string& body) {
  // A header with the end and the oldest offset of the log, then records, each
  // preceded by its size; all numbers are big-endian.
  constexpr std::size_t kHeaderSize = 16;
  constexpr std::size_t kFirstOffsetPosition = 8;
  constexpr std::size_t kLengthSize = 4;
  RawPage page;
  if (body.size() < kHeaderSize) {
    return page;
  }
  page.status = StoreStatus::kDone;
  page.end_offset = LogOffset{LoadBig64(body, 0)};
  page.first_offset = LogOffset{LoadBig64(body, kFirstOffsetPosition)};
  std::size_t at = kHeaderSize;
  while (body.size() - at >= kLengthSize) {
    const std::size_t size = LoadBig32(body, at);
    if (body.size() - at - kLengthSize < size) {
      break;
    }
    page.contents.push_back(body.substr(at + kLengthSize, size));
    at += kLengthSize + size;
  }
  page.cut_off = at < body.size();
  return page;
}

KeyedPage DecodeRead(const std::string& body, LogOffset from) {
  KeyedPage page;
  const RawPage raw = DecodeRawRead(body);
  page.status = raw.status;
  for (const std::string& content : raw.contents) {
    KeyedRecord record;
    record.offset = LogOffset{ToIndex(from) + page.records.size()};
    // The content is the size of the key in one byte, the key and the value.
    const std::size_t key_size =
        content.empty() ? 0 : static_cast<unsigned char>(content.front());
    if (content.size() > key_size) {
      record.key = content.substr(1, key_size);
      if (content.size() > key_size + 1) {
        record.value = content.substr(key_size + 1);
      }
    }
    page.records.push_back(std::move(record));
  }
  page.next_offset = LogOffset{ToIndex(from) + page.records.size()};
  const bool limited =
      body.size() >= kLongResponseBytes && page.next_offset < raw.end_offset;
  page.truncated = raw.cut_off || limited;
  return page;
}

ListingPage DecodeNewest(const std::string& body) {
  ListingPage listing;
  // Keys can have any bytes.
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  boost::system::error_code error;
  const json::value value = json::parse(body, error, {}, options);
  const json::object* object = error ? nullptr : value.if_object();
  const json::array* items =
      object == nullptr ? nullptr : FindArray(*object, "items");
  const auto end =
      object == nullptr ? std::nullopt : FindUnsigned(*object, "end");
  if (items == nullptr || !end) {
    return listing;
  }
  const auto has_more = FindBool(*object, "has_more");
  if (object->contains("has_more") && !has_more) {
    return listing;
  }
  listing.page.status = StoreStatus::kDone;
  listing.page.next_offset = LogOffset{*end};
  listing.has_more = has_more.value_or(false);
  for (const json::value& item : *items) {
    const json::object* entry = item.if_object();
    const auto key =
        entry == nullptr ? std::nullopt : FindString(*entry, "key");
    if (!key) {
      continue;
    }
    listing.last_key = key;
    const auto text = FindString(*entry, "value");
    const auto offset = FindUnsigned(*entry, "offset");
    std::string decoded;
    if (text && offset && absl::Base64Unescape(*text, &decoded)) {
      listing.page.records.push_back(
          {LogOffset{*offset}, *key, std::move(decoded)});
    }
  }
  return listing;
}

std::string EncodeRaw(const std::string& content) {
  std::string record(4, '\0');
  endian::store_big_u32(reinterpret_cast<unsigned char*>(record.data()),
                        static_cast<std::uint32_t>(content.size()));
  return record + content;
}

std::string EncodeRecord(const std::string& key,
                         const std::optional<std::string>& value) {
  return EncodeRaw(static_cast<char>(key.size()) + key + value.value_or(""));
}

http::FetchRequest Store::MakeRequest(std::string path,
                                      Duration timeout) const {
  http::FetchRequest request;
  request.address = address_;
  request.source = source_;
  request.path = std::move(path);
  request.timeout = timeout;
  request.connect_timeout = kConnectTimeout;
  return request;
}

asio::awaitable<http::FetchResult> Store::Send(
    CallType type,
    http::FetchRequest request) const {
  const Duration delay = pacer_ ? pacer_(type) : Duration::zero();
  if (delay > Duration::zero()) {
    asio::steady_timer timer(co_await asio::this_coro::executor, delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
  co_return co_await http::Fetch(std::move(request));
}

asio::awaitable<KeyedPage> Store::ReadNewest(std::string topic) const {
  KeyedPage listing;
  std::optional<std::string> after;
  for (int page_number = 0; page_number < kMaxPages; ++page_number) {
    std::string path = "/api/log-newest?topic=" + topic + "&part=0";
    if (after) {
      path += "&after=" + EscapeQueryValue(*after);
    }
    const http::FetchResult response = co_await Send(
        CallType::kRead, MakeRequest(std::move(path), kResponseTimeout));
    if (StatusOf(response) != StoreStatus::kDone) {
      co_return KeyedPage{StatusOf(response), {}, {}};
    }
    ListingPage read = DecodeNewest(response.body);
    if (read.page.status != StoreStatus::kDone) {
      co_return std::move(read.page);
    }
    if (page_number == 0) {
      // Reading continues from here, which finds again the records that were
      // appended while later pages were listed.
      listing.next_offset = read.page.next_offset;
    }
    std::move(read.page.records.begin(), read.page.records.end(),
              std::back_inserter(listing.records));
    listing.truncated = read.has_more;
    // A page that ends where the one before it ended leads no further.
    if (!read.has_more || !read.last_key || read.last_key == after) {
      break;
    }
    after = std::move(read.last_key);
  }
  listing.status = StoreStatus::kDone;
  co_return listing;
}

asio::awaitable<KeyedPage> Store::ReadFrom(std::string topic,
                                           LogOffset from,
                                           Duration wait) const {
  const Duration timeout_margin =
      wait > Duration::zero() ? kPollTimeoutMargin : kResponseTimeout;
  const http::FetchResult response = co_await Send(
      CallType::kRead, ReadRequest(topic, from, wait, timeout_margin));
  KeyedPage page;
  page.status = StatusOf(response);
  if (page.status != StoreStatus::kDone) {
    co_return page;
  }
  co_return DecodeRead(response.body, from);
}

http::FetchRequest Store::ReadRequest(const std::string& topic,
                                      LogOffset from,
                                      Duration wait,
                                      Duration timeout_margin) const {
  std::string path = "/api/log-read?topic=" + topic +
                     "&part=0&from=" + std::to_string(ToIndex(from));
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  if (wait_ms > 0) {
    path += "&wait_ms=" + std::to_string(wait_ms);
  }
  http::FetchRequest request =
      MakeRequest(std::move(path), wait + timeout_margin);
  request.keep_alive_probes = wait_ms > 0;
  return request;
}

asio::awaitable<RawPage> Store::ReadRaw(std::string topic,
                                        LogOffset from,
                                        Duration wait,
                                        Duration timeout_margin) const {
  const http::FetchResult response = co_await Send(
      CallType::kRead, ReadRequest(topic, from, wait, timeout_margin));
  RawPage page;
  page.status = StatusOf(response);
  if (page.status == StoreStatus::kDone) {
    co_return DecodeRawRead(response.body);
  }
  if (page.status == StoreStatus::kExpired) {
    page.first_offset =
        LogOffset{FindUnsignedIn(response.body, "first").value_or(0)};
  }
  co_return page;
}

asio::awaitable<RawAppend> Store::AppendRaw(
    std::string topic,
    std::vector<std::string> contents) const {
  http::FetchRequest request = MakeRequest(
      "/api/log-append?topic=" + topic + "&part=0", kResponseTimeout);
  request.method = "POST";
  for (const std::string& content : contents) {
    request.body += EncodeRaw(content);
  }
  const http::FetchResult response =
      co_await Send(CallType::kWrite, std::move(request));
  RawAppend result;
  result.status = StatusOf(response);
  if (response.status == http::FetchStatus::kCompleted &&
      !GuaranteesNoEffect(response.code) &&
      result.status != StoreStatus::kDone) {
    result.status = StoreStatus::kUnknown;
  }
  if (result.status != StoreStatus::kDone) {
    co_return result;
  }
  const auto offset = FindUnsignedIn(response.body, "offset");
  if (!offset) {
    result.status = StoreStatus::kUnknown;
    co_return result;
  }
  result.first_offset = LogOffset{*offset};
  co_return result;
}

asio::awaitable<StoreStatus> Store::Put(
    std::string topic,
    std::string key,
    std::optional<std::string> value) const {
  const std::string content =
      static_cast<char>(key.size()) + key + value.value_or("");
  std::vector<std::string> contents;
  contents.push_back(content);
  const RawAppend result =
      co_await AppendRaw(std::move(topic), std::move(contents));
  co_return result.status;
}

}  // namespace kingcupshed::platform
