#include "kingcupshed/platform/client.h"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/http/fetch.h"
#include "kingcupshed/platform/error.h"

namespace kingcupshed::platform {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr unsigned kOk = 200;
constexpr Duration kAnswerTimeout = std::chrono::seconds(2);

/// Returns a member's text, or an empty string.
std::string TextOf(const json::object& object, json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string()) {
    return {};
  }
  return std::string(value->get_string());
}

/// Returns a member's number, or zero.
std::uint64_t NumberOf(const json::object& object, json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return 0;
  }
  return static_cast<std::uint64_t>(value->get_int64());
}

leaf::result<json::value> ParseBody(const http::FetchResult& answer) {
  if (answer.status != http::FetchStatus::kAnswered) {
    return leaf::new_error(Error::kNotAnswered);
  }
  if (answer.code != kOk) {
    return leaf::new_error(Error::kRefused);
  }
  boost::system::error_code error;
  json::value value = json::parse(answer.body, error);
  if (error) {
    return leaf::new_error(Error::kNotJson);
  }
  return value;
}

leaf::result<json::object> ParseObject(const http::FetchResult& answer) {
  BOOST_LEAF_AUTO(body, ParseBody(answer));
  if (!body.is_object()) {
    return leaf::new_error(Error::kBadMember);
  }
  return std::move(body.get_object());
}

TargetEntry ReadTarget(const json::object& object) {
  TargetEntry entry;
  entry.name = TextOf(object, "name");
  entry.service = TextOf(object, "service");
  entry.zone = TextOf(object, "zone");
  entry.address = TextOf(object, "address");
  entry.slots = static_cast<std::uint32_t>(NumberOf(object, "slots"));
  entry.connections =
      static_cast<std::uint32_t>(NumberOf(object, "connections"));
  entry.leaving = TextOf(object, "state") == "leaving";
  return entry;
}

VmEntry ReadVm(const json::object& object) {
  VmEntry entry;
  entry.name = TextOf(object, "name");
  entry.zone = TextOf(object, "zone");
  entry.address = TextOf(object, "address");
  entry.peer_address = TextOf(object, "peer_address");
  entry.leaving = TextOf(object, "state") == "leaving";
  return entry;
}

template <typename Entry>
leaf::result<std::vector<Entry>> ReadList(
    const http::FetchResult& answer,
    Entry (*read_entry)(const json::object&)) {
  BOOST_LEAF_AUTO(body, ParseBody(answer));
  if (!body.is_array()) {
    return leaf::new_error(Error::kBadMember);
  }
  std::vector<Entry> entries;
  for (const json::value& value : body.get_array()) {
    if (!value.is_object()) {
      return leaf::new_error(Error::kBadMember);
    }
    entries.push_back(read_entry(value.get_object()));
  }
  return entries;
}

/// Returns a list, or nothing when the answer can't be used.
template <typename Entry>
std::optional<std::vector<Entry>> ListOrNothing(
    const http::FetchResult& answer,
    Entry (*read_entry)(const json::object&)) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::vector<Entry>>> {
        BOOST_LEAF_AUTO(entries, ReadList(answer, read_entry));
        return std::optional(std::move(entries));
      },
      [] { return std::optional<std::vector<Entry>>(); });
}

http::FetchRequest ListRequest(const std::string& address,
                               const std::string& source,
                               const std::string& path,
                               const std::string& etag) {
  http::FetchRequest request;
  request.address = address;
  request.source = source;
  request.path = path;
  if (!etag.empty()) {
    request.headers["If-None-Match"] = etag;
  }
  return request;
}

/// Returns the list that an answer stands for and keeps it for the next one.
template <typename Entry>
std::optional<std::vector<Entry>> TakeList(
    const http::FetchResult& answer,
    Entry (*read_entry)(const json::object&),
    CachedList<Entry>& cache) {
  constexpr unsigned kNotModified = 304;
  if (answer.status == http::FetchStatus::kAnswered &&
      answer.code == kNotModified && !cache.etag.empty()) {
    return cache.entries;
  }
  auto entries = ListOrNothing<Entry>(answer, read_entry);
  if (entries) {
    cache.etag = answer.etag;
    cache.entries = *entries;
  }
  return entries;
}

/// Returns a required offset.
leaf::result<LogOffset> OffsetOf(const json::object& object,
                                 json::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64() || value->get_int64() < 0) {
    return leaf::new_error(Error::kBadMember);
  }
  return LogOffset{static_cast<std::uint64_t>(value->get_int64())};
}

leaf::result<LogRecord> ReadRecord(const json::value& value) {
  if (!value.is_object()) {
    return leaf::new_error(Error::kBadMember);
  }
  const json::object& object = value.get_object();
  BOOST_LEAF_AUTO(offset, OffsetOf(object, "offset"));
  return LogRecord{offset, TextOf(object, "id"), TextOf(object, "payload")};
}

leaf::result<LogPage> ReadPage(const http::FetchResult& answer) {
  BOOST_LEAF_AUTO(object, ParseObject(answer));
  LogPage page;
  BOOST_LEAF_ASSIGN(page.first, OffsetOf(object, "first"));
  BOOST_LEAF_ASSIGN(page.end, OffsetOf(object, "end"));
  const json::value* records = object.if_contains("records");
  if (records == nullptr || !records->is_array()) {
    return leaf::new_error(Error::kBadMember);
  }
  for (const json::value& value : records->get_array()) {
    BOOST_LEAF_AUTO(record, ReadRecord(value));
    page.records.push_back(std::move(record));
  }
  return page;
}

leaf::result<LogOffset> ReadFirst(const http::FetchResult& answer) {
  BOOST_LEAF_AUTO(object, ParseObject(answer));
  return OffsetOf(object, "first");
}

/// Tells what a failed append may have done. A clear refusal did nothing; any
/// other answer, or none after the request was sent, leaves it open.
Status StatusOfFailedAppend(const http::FetchResult& answer) {
  constexpr unsigned kFirstClientError = 400;
  constexpr unsigned kFirstServerError = 500;
  constexpr unsigned kUnavailable = 503;
  if (answer.status == http::FetchStatus::kNotSent) {
    return Status::kNotDone;
  }
  const bool refused =
      answer.status == http::FetchStatus::kAnswered &&
      ((answer.code >= kFirstClientError && answer.code < kFirstServerError) ||
       answer.code == kUnavailable);
  return refused ? Status::kNotDone : Status::kUnknown;
}

}  // namespace

Client::Client(std::string address, std::string source)
    : address_(std::move(address)), source_(std::move(source)) {}

asio::awaitable<AppendResult> Client::Append(
    std::string stream,
    std::vector<NewRecord> records) const {
  json::array list;
  for (const NewRecord& record : records) {
    list.push_back(
        json::object{{"id", record.id}, {"payload", record.payload}});
  }
  http::FetchRequest request;
  request.address = address_;
  request.source = source_;
  request.method = "POST";
  request.path = "/log/" + stream;
  request.body = json::serialize(json::object{{"records", std::move(list)}});
  request.timeout = kAnswerTimeout;
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  co_return leaf::try_handle_all(
      [&]() -> leaf::result<AppendResult> {
        BOOST_LEAF_AUTO(first, ReadFirst(answer));
        return AppendResult{Status::kDone, first};
      },
      [&] {
        return AppendResult{StatusOfFailedAppend(answer), {}};
      });
}

asio::awaitable<ReadResult> Client::Read(std::string stream,
                                         LogOffset from,
                                         Duration wait,
                                         Duration patience) const {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  http::FetchRequest request;
  request.address = address_;
  request.source = source_;
  request.path = "/log/" + stream + "?from=" + std::to_string(ToIndex(from)) +
                 "&wait_ms=" + std::to_string(wait_ms);
  request.timeout = wait + patience;
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  co_return leaf::try_handle_all(
      [&]() -> leaf::result<ReadResult> {
        BOOST_LEAF_AUTO(page, ReadPage(answer));
        return ReadResult{Status::kDone, std::move(page)};
      },
      [] { return ReadResult{}; });
}

asio::awaitable<std::optional<std::vector<TargetEntry>>> Client::ListTargets()
    const {
  http::FetchRequest request =
      ListRequest(address_, source_, "/targets", targets_.etag);
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  co_return TakeList<TargetEntry>(answer, &ReadTarget, targets_);
}

asio::awaitable<std::optional<std::vector<VmEntry>>> Client::ListVms() const {
  http::FetchRequest request =
      ListRequest(address_, source_, "/vms", vms_.etag);
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  co_return TakeList<VmEntry>(answer, &ReadVm, vms_);
}

}  // namespace kingcupshed::platform
