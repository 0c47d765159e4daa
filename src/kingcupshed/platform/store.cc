#include "kingcupshed/platform/store.h"

#include <algorithm>
#include <utility>

#include <absl/strings/escaping.h>

#include <boost/endian/conversion.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/http/fetch.h"
#include "kingcupshed/platform/json_read.h"

namespace kingcupshed::platform {

namespace {

namespace asio = boost::asio;
namespace endian = boost::endian;
namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kGone = 410;
/// Some round trips between regions; an unreachable store is tried again soon
/// after, so that its return is noticed within a second.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(1500);
/// Pages of 500 keys; more than any deployment has.
constexpr int kMostPages = 64;

StoreStatus StatusOf(const http::FetchResult& answer) {
  switch (answer.status) {
    case http::FetchStatus::kNotSent:
      return StoreStatus::kNotDone;
    case http::FetchStatus::kLost:
      return StoreStatus::kUnknown;
    case http::FetchStatus::kAnswered:
      break;
  }
  if (answer.code == kGone) {
    return StoreStatus::kExpired;
  }
  return answer.code == kOk ? StoreStatus::kDone : StoreStatus::kNotDone;
}

std::uint32_t LoadBig32(const std::string& bytes, std::size_t at) {
  return endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(bytes.data() + at));
}

}  // namespace

KeyedPage DecodeRead(const std::string& body, LogOffset from) {
  constexpr std::size_t kHead = 16;
  constexpr std::size_t kLength = 4;
  KeyedPage page;
  if (body.size() < kHead) {
    return page;
  }
  page.status = StoreStatus::kDone;
  std::vector<std::string> contents;
  std::size_t at = kHead;
  while (body.size() - at >= kLength) {
    const std::size_t size = LoadBig32(body, at);
    if (body.size() - at - kLength < size) {
      break;
    }
    contents.push_back(body.substr(at + kLength, size));
    at += kLength + size;
  }
  for (const std::string& content : contents) {
    KeyedRecord record;
    record.offset = LogOffset{ToIndex(from) + page.records.size()};
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
  page.next = LogOffset{ToIndex(from) + page.records.size()};
  return page;
}

KeyedPage DecodeNewest(const std::string& body, bool& more) {
  KeyedPage page;
  more = false;
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::array* items =
      object == nullptr ? nullptr : FindArray(*object, "items");
  const auto end =
      object == nullptr ? std::nullopt : FindCount(*object, "end");
  if (items == nullptr || !end) {
    return page;
  }
  page.status = StoreStatus::kDone;
  page.next = LogOffset{*end};
  more = FindFlag(*object, "has_more").value_or(false);
  for (const json::value& item : *items) {
    const json::object* entry = item.if_object();
    const auto key =
        entry == nullptr ? std::nullopt : FindText(*entry, "key");
    const auto text =
        entry == nullptr ? std::nullopt : FindText(*entry, "value");
    const auto offset =
        entry == nullptr ? std::nullopt : FindCount(*entry, "offset");
    std::string decoded;
    if (key && text && offset && absl::Base64Unescape(*text, &decoded)) {
      page.records.push_back({LogOffset{*offset}, *key, std::move(decoded)});
    }
  }
  return page;
}

std::string EncodeRecord(const std::string& key,
                         const std::optional<std::string>& value) {
  const std::size_t size = 1 + key.size() + (value ? value->size() : 0);
  std::string record(4, '\0');
  endian::store_big_u32(reinterpret_cast<unsigned char*>(record.data()),
                        static_cast<std::uint32_t>(size));
  record += static_cast<char>(key.size());
  record += key;
  record += value.value_or("");
  return record;
}

asio::awaitable<KeyedPage> Store::ReadNewest(std::string topic) const {
  KeyedPage whole;
  std::string after;
  for (int at = 0; at < kMostPages; ++at) {
    http::FetchRequest request;
    request.address = address_;
    request.path = "/api/log-newest?topic=" + topic + "&part=0";
    if (!after.empty()) {
      request.path += "&after=" + after;
    }
    request.timeout = kAnswerTimeout;
    request.connect_timeout = kConnectTimeout;
    const http::FetchResult answer = co_await http::Fetch(std::move(request));
    if (StatusOf(answer) != StoreStatus::kDone) {
      co_return KeyedPage{StatusOf(answer), {}, {}};
    }
    bool more = false;
    KeyedPage page = DecodeNewest(answer.body, more);
    if (page.status != StoreStatus::kDone) {
      co_return page;
    }
    if (at == 0) {
      // Records that came while later pages were read are read again from here.
      whole.next = page.next;
    }
    if (!page.records.empty()) {
      after = page.records.back().key;
    }
    std::move(page.records.begin(), page.records.end(),
              std::back_inserter(whole.records));
    if (!more || page.records.empty()) {
      break;
    }
  }
  whole.status = StoreStatus::kDone;
  co_return whole;
}

asio::awaitable<KeyedPage> Store::ReadFrom(std::string topic,
                                           LogOffset from,
                                           Duration wait) const {
  http::FetchRequest request;
  request.address = address_;
  request.path = "/api/log-read?topic=" + topic +
                 "&part=0&from=" + std::to_string(ToIndex(from));
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  if (wait_ms > 0) {
    request.path += "&wait_ms=" + std::to_string(wait_ms);
  }
  request.timeout = wait + kAnswerTimeout;
  request.connect_timeout = kConnectTimeout;
  request.keep_alive_probes = wait_ms > 0;
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  KeyedPage page;
  page.status = StatusOf(answer);
  if (page.status != StoreStatus::kDone) {
    co_return page;
  }
  co_return DecodeRead(answer.body, from);
}

asio::awaitable<StoreStatus> Store::Put(
    std::string topic,
    std::string key,
    std::optional<std::string> value) const {
  http::FetchRequest request;
  request.address = address_;
  request.method = "POST";
  request.path = "/api/log-append?topic=" + topic + "&part=0";
  request.body = EncodeRecord(key, value);
  request.timeout = kAnswerTimeout;
  request.connect_timeout = kConnectTimeout;
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  co_return StatusOf(answer);
}

}  // namespace kingcupshed::platform
