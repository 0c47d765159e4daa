#include "kingcupshed/daemon/target_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "kingcupshed/daemon/topic_reader.h"
#include "kingcupshed/peer/compression.h"
#include "kingcupshed/platform/documents.h"
#include "peer.pb.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
using platform::KeyedPage;
using platform::StoreStatus;

/// Several times the size of the target records of the largest fleet.
constexpr std::size_t kMaxTargetBytes = 16UL * 1024 * 1024;
/// Further keys of entries that name no target are not reported.
constexpr std::size_t kMaxIgnoredKeys = 100;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

using WireRecords = google::protobuf::RepeatedPtrField<peer::wire::StoreRecord>;

void AddRecords(const std::vector<catalog::CachedRecord>& records,
                WireRecords& out) {
  for (const catalog::CachedRecord& record : records) {
    peer::wire::StoreRecord& copy = *out.Add();
    copy.set_offset(ToIndex(record.offset));
    copy.set_key(record.key);
    copy.set_removed(!record.value);
    copy.set_value(record.value.value_or(""));
  }
}

void ReadRecords(const WireRecords& records, KeyedPage& page) {
  for (const peer::wire::StoreRecord& record : records) {
    page.records.push_back({LogOffset{record.offset()}, record.key(),
                            record.removed()
                                ? std::nullopt
                                : std::optional<std::string>(record.value())});
  }
}

/// Reads the records of a response.
/// @return Nothing if they can't be decoded.
std::optional<KeyedPage> ToPage(const peer::wire::Published& published) {
  KeyedPage page;
  page.status = StoreStatus::kDone;
  page.next_offset = LogOffset{published.targets_next()};
  if (published.all_targets().empty()) {
    ReadRecords(published.targets(), page);
    return page;
  }
  const auto text = peer::Decompress(published.all_targets(), kMaxTargetBytes);
  peer::wire::TargetRecords all;
  if (!text || !all.ParseFromString(*text)) {
    return std::nullopt;
  }
  ReadRecords(all.records(), page);
  return page;
}

}  // namespace

TargetFollower::TargetFollower(const platform::Store& store, Hooks hooks)
    : store_(store), hooks_(std::move(hooks)) {}

asio::awaitable<TopicRead> TargetFollower::Read() {
  const bool listing = !next_offset_;
  std::string topic(platform::kTargetTopic);
  const KeyedPage page = co_await ReadTopic(
      store_, std::move(topic), next_offset_,
      [this](const KeyedPage& first_listing) { Apply(first_listing, false); });
  if (page.status == StoreStatus::kExpired) {
    next_offset_.reset();
    co_return TopicRead{page.status, false};
  }
  if (page.status != StoreStatus::kDone) {
    RecordOutage();
    co_return TopicRead{page.status, false};
  }
  catalog_.OnReadSucceeded(Now());
  Apply(page, listing && !page.truncated);
  if (listing && page.truncated) {
    // Targets may be missing from the listing, so the next read lists again.
    co_return TopicRead{page.status, false};
  }
  // Another VM may have sent newer records meanwhile.
  next_offset_ = std::max(next_offset_.value_or(LogOffset{}), page.next_offset);
  co_return TopicRead{page.status, !page.truncated};
}

bool TargetFollower::ApplyFromPeer(const peer::wire::Published& published) {
  const auto page = ToPage(published);
  if (!page) {
    hooks_.on_invalid_targets();
    return false;
  }
  if (!next_offset_ || page->next_offset >= *next_offset_) {
    Apply(*page, !published.all_targets().empty());
    next_offset_ = page->next_offset;
  }
  return true;
}

void TargetFollower::OnLeavingResponse(const std::string& target,
                                       TimePoint now) {
  catalog_.OnLeavingResponse(target);
  Advance(now);
}

void TargetFollower::Advance(TimePoint now) {
  const bool changed = catalog_.Advance(now);
  for (const catalog::Departure& departure : catalog_.TakeDepartures()) {
    hooks_.on_departure(departure);
  }
  if (changed) {
    hooks_.on_targets();
  }
}

void TargetFollower::AddTo(peer::wire::Published& response,
                           LogOffset known_up_to) {
  if (!records_.IsCompleteSince(known_up_to)) {
    response.set_all_targets(CompressAll());
  } else {
    AddRecords(records_.ChangedSince(known_up_to), *response.mutable_targets());
  }
  response.set_targets_next(ToIndex(next_offset_.value_or(LogOffset{0})));
}

/// @param complete True if the page has all targets, so that those it lacks are
///   gone.
void TargetFollower::Apply(const KeyedPage& page, bool complete) {
  const TimePoint now = Now();
  loaded_ = true;
  std::vector<std::string> names;
  for (const platform::KeyedRecord& record : page.records) {
    names.push_back(record.key);
    if (record.value) {
      ApplyEntry(record, now);
    } else {
      ApplyRemoval(record, now);
    }
  }
  if (complete) {
    catalog_.ApplyListing(names, page.next_offset, now);
    records_.ApplyListing(names, page.next_offset, now);
  }
  records_.Trim(now);
  Advance(now);
}

void TargetFollower::ApplyEntry(const platform::KeyedRecord& record,
                                TimePoint now) {
  auto report = platform::DecodeTarget(record.key, *record.value);
  if (!report) {
    RecordIgnored(record.key);
    return;
  }
  const auto known = catalog_.targets().find(record.key);
  const bool reports_change =
      known == catalog_.targets().end() ||
      catalog::ReportsChange(*report, known->second.report);
  if (catalog_.ApplyReport(*std::move(report), record.offset, now)) {
    records_.Apply({record.offset, record.key, record.value}, reports_change,
                   now);
  }
}

void TargetFollower::ApplyRemoval(const platform::KeyedRecord& record,
                                  TimePoint now) {
  ignored_keys_.erase(record.key);
  // Messages to other VMs can't carry keys of any bytes.
  if (!platform::IsEntryName(record.key)) {
    return;
  }
  records_.Apply({record.offset, record.key, std::nullopt}, true, now);
  catalog_.ApplyRemoval(record.key, record.offset, now);
}

void TargetFollower::RecordIgnored(const std::string& key) {
  if (ignored_keys_.size() < kMaxIgnoredKeys &&
      ignored_keys_.insert(key).second) {
    hooks_.on_ignored_entry(key);
  }
}

/// Returns all target records, compressed once for all VMs that request them
/// before the next read: after a power failure, whole zones do so at the same
/// moment.
const std::string& TargetFollower::CompressAll() {
  if (compressed_offset_ != next_offset_) {
    peer::wire::TargetRecords all;
    AddRecords(records_.ChangedSince(LogOffset{0}), *all.mutable_records());
    compressed_ = peer::Compress(all.SerializeAsString());
    compressed_offset_ = next_offset_;
  }
  return compressed_;
}

}  // namespace kingcupshed::daemon
