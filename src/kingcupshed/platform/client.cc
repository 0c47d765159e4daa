#include "kingcupshed/platform/client.h"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/platform/documents.h"
#include "kingcupshed/platform/json_read.h"

namespace kingcupshed::platform {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

/// Connection limit of a target whose entry doesn't state one.
constexpr std::uint32_t kDefaultConnections = 240;

Status ToStatus(StoreStatus status) {
  switch (status) {
    case StoreStatus::kDone:
      return Status::kDone;
    case StoreStatus::kUnknown:
      return Status::kUnknown;
    case StoreStatus::kNotDone:
    case StoreStatus::kExpired:
      break;
  }
  return Status::kNotDone;
}

std::string EncodeEnvelope(const NewRecord& record) {
  return json::serialize(
      json::object{{"id", record.id}, {"payload", record.payload}});
}

/// Decodes a record of one of the load balancer's streams. A record of another
/// writer keeps its offset and has neither id nor payload, so that readers pass
/// over it.
LogRecord DecodeEnvelope(LogOffset offset, const std::string& content) {
  boost::system::error_code error;
  const json::value value = json::parse(content, error);
  const json::object* object = error ? nullptr : value.if_object();
  auto id = object == nullptr ? std::nullopt : FindString(*object, "id");
  auto payload =
      object == nullptr ? std::nullopt : FindString(*object, "payload");
  if (!id || !payload) {
    return LogRecord{offset, {}, {}};
  }
  return LogRecord{offset, *std::move(id), *std::move(payload)};
}

LogPage DecodePage(LogOffset from, const RawPage& raw) {
  LogPage page;
  page.first = raw.first_offset;
  page.end = raw.end_offset;
  for (std::size_t i = 0; i < raw.contents.size(); ++i) {
    const LogOffset offset{ToIndex(from) + i};
    page.records.push_back(DecodeEnvelope(offset, raw.contents[i]));
  }
  return page;
}

}  // namespace

Client::Client(std::string address, std::string source)
    : store_(std::move(address), std::move(source)) {}

asio::awaitable<AppendResult> Client::Append(
    std::string stream,
    std::vector<NewRecord> records) const {
  std::vector<std::string> contents;
  contents.reserve(records.size());
  for (const NewRecord& record : records) {
    contents.push_back(EncodeEnvelope(record));
  }
  const RawAppend result =
      co_await store_.AppendRaw(std::move(stream), std::move(contents));
  co_return AppendResult{ToStatus(result.status), result.first_offset};
}

asio::awaitable<ReadResult> Client::Read(std::string stream,
                                         LogOffset from,
                                         Duration wait,
                                         Duration timeout_margin) const {
  RawPage raw = co_await store_.ReadRaw(stream, from, wait, timeout_margin);
  if (raw.status == StoreStatus::kExpired) {
    from = raw.first_offset;
    raw = co_await store_.ReadRaw(std::move(stream), from, Duration::zero(),
                                  timeout_margin);
  }
  if (raw.status != StoreStatus::kDone) {
    co_return ReadResult{};
  }
  co_return ReadResult{Status::kDone, DecodePage(from, raw)};
}

/// Reads what is new in a topic into its cache.
/// @return False if the store can't be read.
asio::awaitable<bool> Client::UpdateCache(std::string topic,
                                          CachedTopic& cache) const {
  KeyedPage page;
  if (cache.next_offset) {
    page =
        co_await store_.ReadFrom(topic, *cache.next_offset, Duration::zero());
  }
  if (!cache.next_offset || page.status == StoreStatus::kExpired) {
    page = co_await store_.ReadNewest(std::move(topic));
    cache.values.clear();
    if (page.truncated) {
      co_return false;
    }
  }
  if (page.status != StoreStatus::kDone) {
    co_return false;
  }
  for (KeyedRecord& record : page.records) {
    if (record.value) {
      cache.values[record.key] = *std::move(record.value);
    } else {
      cache.values.erase(record.key);
    }
  }
  cache.next_offset = page.next_offset;
  co_return true;
}

asio::awaitable<std::optional<std::vector<TargetEntry>>> Client::ListTargets()
    const {
  const bool read = co_await UpdateCache(std::string(kTargetTopic), targets_);
  if (!read) {
    targets_.next_offset.reset();
    co_return std::nullopt;
  }
  std::vector<TargetEntry> entries;
  for (const auto& [name, text] : targets_.values) {
    const auto report = DecodeTarget(name, text);
    if (!report) {
      continue;
    }
    TargetEntry entry;
    entry.name = name;
    entry.service = report->service;
    entry.zone = report->zone;
    entry.address = report->address;
    entry.slots = report->slots;
    entry.connections = report->max_connections.value_or(kDefaultConnections);
    entry.leaving = report->draining;
    entries.push_back(std::move(entry));
  }
  co_return entries;
}

asio::awaitable<std::optional<std::vector<VmEntry>>> Client::ListVms() const {
  const bool read = co_await UpdateCache(std::string(kVmTopic), vms_);
  if (!read) {
    vms_.next_offset.reset();
    co_return std::nullopt;
  }
  std::vector<VmEntry> entries;
  for (const auto& [name, text] : vms_.values) {
    const auto document = DecodeVm(name, text);
    if (document) {
      entries.push_back({name, document->zone, document->address,
                         document->peer_address, document->leaving});
    }
  }
  co_return entries;
}

}  // namespace kingcupshed::platform
