#include "kingcupshed/cli/log_reader.h"

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

/// Reads the page `/table` of a VM.
void ReadTablePage(const std::string& body, VmTable& table) {
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
  table.exact = exact->get_bool();
  table.held.emplace();
  table.held->version =
      TableVersion{static_cast<std::uint64_t>(version->get_int64())};
  table.held->end_offset =
      LogOffset{static_cast<std::uint64_t>(next->get_int64())};
  table.held->csv = std::string(csv->get_string());
}

}  // namespace

leaf::result<std::vector<VmTable>> AskVms(const platform::Client& client,
                                          const std::string& platform) {
  const auto vms = Await(client.ListVms());
  if (!vms) {
    return leaf::new_error(
        Error::kUnreachable,
        Explanation{platform + ": the list of VMs can't be read"});
  }
  std::vector<VmTable> tables;
  for (const platform::VmEntry& vm : *vms) {
    VmTable table;
    table.vm = vm;
    http::FetchRequest request;
    request.address = vm.address;
    request.path = "/table";
    request.timeout = kVmTimeout;
    const http::FetchResult answer = Await(http::Fetch(std::move(request)));
    if (answer.status == http::FetchStatus::kCompleted) {
      ReadTablePage(answer.body, table);
    }
    tables.push_back(std::move(table));
  }
  return tables;
}

LogReader::LogReader(std::string platform, TimePoint deadline)
    : platform_(std::move(platform)), client_(platform_), deadline_(deadline) {}

leaf::result<void> LogReader::ReadToEnd() {
  for (;;) {
    const auto read =
        Await(client_.Read(std::string(platform::kTableStream),
                           versions_.next_offset(), Duration::zero()));
    if (read.status == platform::Status::kDone) {
      Take(read.page);
      if (versions_.next_offset() >= read.page.end) {
        return versions_.complete() ? leaf::result<void>() : FillGap();
      }
    } else if (Now() >= deadline_) {
      return leaf::new_error(
          Error::kUnreachable,
          Explanation{platform_ + ": the log can't be read"});
    } else {
      std::this_thread::sleep_for(kRetryDelay);
    }
  }
}

void LogReader::Take(const LogPage& page) {
  versions_.SkipTo(page.first);
  for (const LogRecord& record : page.records) {
    const table::Verdict verdict = versions_.Apply(record);
    if (verdict == table::Verdict::kAccepted) {
      authors_[versions_.active_table().version] = versions_.author();
    }
    const bool first_copy =
        !watched_verdict_ || verdict == table::Verdict::kAccepted;
    if (!watched_id_.empty() && record.id == watched_id_ && first_copy) {
      watched_verdict_ = verdict;
    }
  }
}

leaf::result<void> LogReader::FillGap() {
  BOOST_LEAF_AUTO(tables, AskVms(client_, platform_));
  for (const VmTable& table : tables) {
    if (table.held && table.exact) {
      (void)versions_.ApplyCheckpoint(*table.held);
    }
  }
  if (versions_.complete()) {
    return {};
  }
  return leaf::new_error(
      Error::kUnreachable,
      Explanation{platform_ + ": the log no longer holds the table's history, "
                              "and no VM knows it; try again in a minute"});
}

leaf::result<table::Verdict> LogReader::Publish(
    const table::Publication& publication) {
  watched_id_ = NewRecordId();
  bool outcome_unknown = false;
  while (Now() < deadline_) {
    const auto append =
        Await(client_.Append(std::string(platform::kTableStream),
                             {{watched_id_, table::ToPayload(publication)}}));
    if (append.status == platform::Status::kNotDone) {
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    outcome_unknown = true;
    // Without its record in sight the append is repeated: only one copy can
    // name the version in force.
    BOOST_LEAF_CHECK(ReadToEnd());
    if (watched_verdict_) {
      return *watched_verdict_;
    }
  }
  if (outcome_unknown) {
    return leaf::new_error(
        Error::kOutcomeUnknown,
        Explanation{platform_ + ": no answer to the append; the table may be "
                                "published, 'table status' will tell"});
  }
  return leaf::new_error(
      Error::kUnreachable,
      Explanation{platform_ +
                  ": the log took no append; nothing is published"});
}

std::string LogReader::AuthorOf(TableVersion version) const {
  const auto found = authors_.find(version);
  if (found != authors_.end()) {
    return found->second;
  }
  return version == versions_.active_table().version ? versions_.author() : "";
}

}  // namespace kingcupshed::cli
