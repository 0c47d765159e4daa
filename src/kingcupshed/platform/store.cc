#include "kingcupshed/platform/store.h"

#include <algorithm>
#include <utility>

#include <absl/strings/escaping.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
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
/// Time beyond its wait for the answer to a poll: some round trips between
/// regions. A store that is slower is read without waiting.
constexpr Duration kPollPatience = std::chrono::milliseconds(500);
/// Pages of 500 keys; more than any deployment has.
constexpr int kMostPages = 64;

/// Tells whether a failed call surely changed nothing.
bool SaysNothingWasDone(unsigned code) {
  constexpr unsigned kFirstClientError = 400;
  constexpr unsigned kFirstServerError = 500;
  constexpr unsigned kUnavailable = 503;
  return (code >= kFirstClientError && code < kFirstServerError) ||
         code == kUnavailable;
}

/// Returns a count from a body that should be a JSON object.
std::optional<std::uint64_t> FindCountIn(const std::string& body,
                                         json::string_view key) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  return object == nullptr ? std::nullopt : FindCount(*object, key);
}

StoreStatus StatusOf(const http::FetchResult& answer) {
  switch (answer.status) {
    case http::FetchStatus::kNotSent:
      return StoreStatus::kNotDone;
    case http::FetchStatus::kNoResponse:
      return StoreStatus::kUnknown;
    case http::FetchStatus::kCompleted:
      break;
  }
  if (answer.code == kGone) {
    return StoreStatus::kExpired;
  }
  return answer.code == kOk ? StoreStatus::kDone : StoreStatus::kNotDone;
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
  constexpr std::size_t kHead = 16;
  constexpr std::size_t kFirstAt = 8;
  constexpr std::size_t kLength = 4;
  RawPage page;
  if (body.size() < kHead) {
    return page;
  }
  page.status = StoreStatus::kDone;
  page.end = LogOffset{LoadBig64(body, 0)};
  page.first = LogOffset{LoadBig64(body, kFirstAt)};
  std::size_t at = kHead;
  while (body.size() - at >= kLength) {
    const std::size_t size = LoadBig32(body, at);
    if (body.size() - at - kLength < size) {
      break;
    }
    page.contents.push_back(body.substr(at + kLength, size));
    at += kLength + size;
  }
  return page;
}

KeyedPage DecodeRead(const std::string& body, LogOffset from) {
  KeyedPage page;
  const RawPage raw = DecodeRawRead(body);
  page.status = raw.status;
  for (const std::string& content : raw.contents) {
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
  const auto end = object == nullptr ? std::nullopt : FindCount(*object, "end");
  if (items == nullptr || !end) {
    return page;
  }
  page.status = StoreStatus::kDone;
  page.next = LogOffset{*end};
  more = FindFlag(*object, "has_more").value_or(false);
  for (const json::value& item : *items) {
    const json::object* entry = item.if_object();
    const auto key = entry == nullptr ? std::nullopt : FindText(*entry, "key");
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
  const Duration wait = pacer_ ? pacer_(type) : Duration::zero();
  if (wait > Duration::zero()) {
    asio::steady_timer turn(co_await asio::this_coro::executor, wait);
    co_await turn.async_wait(asio::use_awaitable);
  }
  co_return co_await http::Fetch(std::move(request));
}

asio::awaitable<KeyedPage> Store::ReadNewest(std::string topic) const {
  KeyedPage whole;
  std::string after;
  for (int at = 0; at < kMostPages; ++at) {
    std::string path = "/api/log-newest?topic=" + topic + "&part=0";
    if (!after.empty()) {
      path += "&after=" + after;
    }
    const http::FetchResult answer = co_await Send(
        CallType::kRead, MakeRequest(std::move(path), kAnswerTimeout));
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
  const Duration patience =
      wait > Duration::zero() ? kPollPatience : kAnswerTimeout;
  const http::FetchResult answer =
      co_await Send(CallType::kRead, ReadRequest(topic, from, wait, patience));
  KeyedPage page;
  page.status = StatusOf(answer);
  if (page.status != StoreStatus::kDone) {
    co_return page;
  }
  co_return DecodeRead(answer.body, from);
}

http::FetchRequest Store::ReadRequest(const std::string& topic,
                                      LogOffset from,
                                      Duration wait,
                                      Duration patience) const {
  std::string path = "/api/log-read?topic=" + topic +
                     "&part=0&from=" + std::to_string(ToIndex(from));
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  if (wait_ms > 0) {
    path += "&wait_ms=" + std::to_string(wait_ms);
  }
  http::FetchRequest request = MakeRequest(std::move(path), wait + patience);
  request.keep_alive_probes = wait_ms > 0;
  return request;
}

asio::awaitable<RawPage> Store::ReadRaw(std::string topic,
                                        LogOffset from,
                                        Duration wait,
                                        Duration patience) const {
  const http::FetchResult answer =
      co_await Send(CallType::kRead, ReadRequest(topic, from, wait, patience));
  RawPage page;
  page.status = StatusOf(answer);
  if (page.status == StoreStatus::kDone) {
    co_return DecodeRawRead(answer.body);
  }
  if (page.status == StoreStatus::kExpired) {
    page.first = LogOffset{FindCountIn(answer.body, "first").value_or(0)};
  }
  co_return page;
}

asio::awaitable<RawAppend> Store::AppendRaw(
    std::string topic,
    std::vector<std::string> contents) const {
  http::FetchRequest request =
      MakeRequest("/api/log-append?topic=" + topic + "&part=0", kAnswerTimeout);
  request.method = "POST";
  for (const std::string& content : contents) {
    request.body += EncodeRaw(content);
  }
  const http::FetchResult answer =
      co_await Send(CallType::kWrite, std::move(request));
  RawAppend result;
  result.status = StatusOf(answer);
  if (answer.status == http::FetchStatus::kCompleted &&
      !SaysNothingWasDone(answer.code) && result.status != StoreStatus::kDone) {
    result.status = StoreStatus::kUnknown;
  }
  if (result.status != StoreStatus::kDone) {
    co_return result;
  }
  const auto offset = FindCountIn(answer.body, "offset");
  if (!offset) {
    result.status = StoreStatus::kUnknown;
    co_return result;
  }
  result.first = LogOffset{*offset};
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
