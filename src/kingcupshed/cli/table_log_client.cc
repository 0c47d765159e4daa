#include "kingcupshed/cli/table_log_client.h"

#include <random>
#include <thread>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/leaf/error.hpp>

#include "kingcupshed/cli/await.h"
#include "kingcupshed/cli/error.h"
#include "kingcupshed/http/fetch.h"
#include "kingcupshed/platform/streams.h"

namespace kingcupshed::cli {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kVmTimeout = std::chrono::seconds(1);

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

std::string NewRecordId() {
  std::random_device random;
  return std::to_string(random()) + "-" + std::to_string(random()) + "-" +
         std::to_string(random());
}

/// Parses the response of a VM to `/table`; leaves `table` unchanged when the
/// response is malformed.
void ParseTablePage(const std::string& body, VmTable& table) {
  boost::system::error_code error;
  const json::value root = json::parse(body, error);
  const json::object* object = error ? nullptr : root.if_object();
  if (object == nullptr) {
    return;
  }
  const json::value* version = object->if_contains("version");
  const json::value* next = object->if_contains("next_offset");
  const json::value* csv = object->if_contains("csv");
  const json::value* exact = object->if_contains("exact");
  if (version == nullptr || !version->is_int64() || next == nullptr ||
      !next->is_int64() || csv == nullptr || !csv->is_string() ||
      exact == nullptr || !exact->is_bool()) {
    return;
  }
  table.history_complete = exact->get_bool();
  table.checkpoint.emplace();
  table.checkpoint->version =
      TableVersion{static_cast<std::uint64_t>(version->get_int64())};
  table.checkpoint->end_offset =
      LogOffset{static_cast<std::uint64_t>(next->get_int64())};
  table.checkpoint->csv = std::string(csv->get_string());
}

}  // namespace

leaf::result<std::vector<VmTable>> FetchVmTables(const platform::Client& client,
                                                 const std::string& platform) {
  const auto vms = Await(client.ListVms());
  if (!vms) {
    return leaf::new_error(
        Error::kUnreachable,
        ErrorMessage{platform +
                     ": cannot read the list of VMs from the platform"});
  }
  std::vector<VmTable> tables;
  for (const platform::VmEntry& vm : *vms) {
    VmTable table;
    table.vm = vm;
    http::FetchRequest request;
    request.address = vm.address;
    request.path = "/table";
    request.timeout = kVmTimeout;
    const http::FetchResult response = Await(http::Fetch(std::move(request)));
    if (response.status == http::FetchStatus::kCompleted) {
      ParseTablePage(response.body, table);
    }
    tables.push_back(std::move(table));
  }
  return tables;
}

TableLogClient::TableLogClient(std::string platform, TimePoint deadline)
    : platform_(std::move(platform)), client_(platform_), deadline_(deadline) {}

leaf::result<void> TableLogClient::ReadToEnd() {
  for (;;) {
    const auto read =
        Await(client_.Read(std::string(platform::kTableStream),
                           versions_.next_offset(), Duration::zero()));
    if (read.status == platform::Status::kDone) {
      ApplyPage(read.page);
      if (versions_.next_offset() >= read.page.end) {
        return versions_.complete() ? leaf::result<void>()
                                    : RecoverHistoryFromVms();
      }
    } else if (Now() >= deadline_) {
      return leaf::new_error(
          Error::kUnreachable,
          ErrorMessage{
              platform_ +
              ": cannot read the log of table versions before the timeout"});
    } else {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

void TableLogClient::ApplyPage(const LogPage& page) {
  versions_.SkipTo(page.first);
  for (const LogRecord& record : page.records) {
    const table::Verdict verdict = versions_.Apply(record);
    if (verdict == table::Verdict::kAccepted) {
      authors_[versions_.active_table().version] = versions_.author();
    }
    // Retries can leave several copies of the record; one accepted copy is
    // enough.
    const bool use_verdict =
        !publication_verdict_ || verdict == table::Verdict::kAccepted;
    if (!published_record_id_.empty() && record.id == published_record_id_ &&
        use_verdict) {
      publication_verdict_ = verdict;
    }
  }
}

leaf::result<void> TableLogClient::RecoverHistoryFromVms() {
  BOOST_LEAF_AUTO(tables, FetchVmTables(client_, platform_));
  for (const VmTable& table : tables) {
    if (table.checkpoint && table.history_complete) {
      (void)versions_.ApplyCheckpoint(*table.checkpoint);
    }
  }
  if (versions_.complete()) {
    return {};
  }
  return leaf::new_error(
      Error::kUnreachable,
      ErrorMessage{platform_ +
                   ": the log no longer holds the complete table history, "
                   "and no VM provided it; try again in a minute"});
}

leaf::result<table::Verdict> TableLogClient::Publish(
    const table::Publication& publication) {
  published_record_id_ = NewRecordId();
  bool outcome_unknown = false;
  while (Now() < deadline_) {
    const auto append = Await(client_.Append(
        std::string(platform::kTableStream),
        {{published_record_id_, table::ToPayload(publication)}}));
    if (append.status == platform::Status::kNotDone) {
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    outcome_unknown = true;
    // The append is retried while its record is missing from the log. That is
    // safe: only one copy can be based on the active version.
    BOOST_LEAF_CHECK(ReadToEnd());
    if (publication_verdict_) {
      return *publication_verdict_;
    }
  }
  if (outcome_unknown) {
    return leaf::new_error(
        Error::kOutcomeUnknown,
        ErrorMessage{platform_ +
                     ": the log did not confirm the append; the table "
                     "may be published; check with 'kingcupshed "
                     "table status'"});
  }
  return leaf::new_error(
      Error::kUnreachable,
      ErrorMessage{platform_ + ": the log accepted no append before the "
                               "timeout; nothing was published"});
}

std::string TableLogClient::AuthorOf(TableVersion version) const {
  const auto found = authors_.find(version);
  if (found != authors_.end()) {
    return found->second;
  }
  return version == versions_.active_table().version ? versions_.author() : "";
}

}  // namespace kingcupshed::cli
