#include "kingcupshed/platform/client.h"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/http/fetch.h"

namespace kingcupshed::platform {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

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

std::optional<json::value> ParseBody(const http::FetchResult& answer) {
  if (answer.status != http::FetchStatus::kAnswered || answer.code != kOk) {
    return std::nullopt;
  }
  boost::system::error_code error;
  json::value value = json::parse(answer.body, error);
  if (error) {
    return std::nullopt;
  }
  return value;
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
std::optional<std::vector<Entry>> ReadList(
    const http::FetchResult& answer,
    Entry (*read_entry)(const json::object&)) {
  const auto body = ParseBody(answer);
  if (!body || !body->is_array()) {
    return std::nullopt;
  }
  std::vector<Entry> entries;
  for (const json::value& value : body->get_array()) {
    if (value.is_object()) {
      entries.push_back(read_entry(value.get_object()));
    }
  }
  return entries;
}

LogPage ReadPage(const json::object& object) {
  LogPage page;
  page.first = LogOffset{NumberOf(object, "first")};
  page.end = LogOffset{NumberOf(object, "end")};
  const json::value* records = object.if_contains("records");
  if (records == nullptr || !records->is_array()) {
    return page;
  }
  for (const json::value& value : records->get_array()) {
    if (value.is_object()) {
      const json::object& record = value.get_object();
      page.records.push_back({LogOffset{NumberOf(record, "offset")},
                              TextOf(record, "id"), TextOf(record, "payload")});
    }
  }
  return page;
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
  AppendResult result;
  if (answer.status == http::FetchStatus::kLost) {
    result.status = Status::kUnknown;
  }
  const auto body = ParseBody(answer);
  if (body && body->is_object()) {
    result.status = Status::kDone;
    result.first = LogOffset{NumberOf(body->get_object(), "first")};
  }
  co_return result;
}

asio::awaitable<ReadResult> Client::Read(std::string stream,
                                         LogOffset from,
                                         Duration wait) const {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  http::FetchRequest request;
  request.address = address_;
  request.source = source_;
  request.path = "/log/" + stream + "?from=" + std::to_string(ToIndex(from)) +
                 "&wait_ms=" + std::to_string(wait_ms);
  request.timeout = kAnswerTimeout + wait;
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  ReadResult result;
  const auto body = ParseBody(answer);
  if (body && body->is_object()) {
    result.status = Status::kDone;
    result.page = ReadPage(body->get_object());
  }
  co_return result;
}

asio::awaitable<std::optional<std::vector<TargetEntry>>> Client::ListTargets()
    const {
  http::FetchRequest request;
  request.address = address_;
  request.source = source_;
  request.path = "/targets";
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  co_return ReadList<TargetEntry>(answer, &ReadTarget);
}

asio::awaitable<std::optional<std::vector<VmEntry>>> Client::ListVms() const {
  http::FetchRequest request;
  request.address = address_;
  request.source = source_;
  request.path = "/vms";
  const http::FetchResult answer = co_await http::Fetch(std::move(request));
  co_return ReadList<VmEntry>(answer, &ReadVm);
}

}  // namespace kingcupshed::platform
