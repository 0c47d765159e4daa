#include "kingcupshed/daemon/table_follower.h"

#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "kingcupshed/log/log.h"
#include "kingcupshed/platform/streams.h"

namespace kingcupshed::daemon {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view kPart = "table";

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

TableFollower::TableFollower(Runtime& runtime,
                             const platform::Client& platform,
                             TableFollowerHooks hooks)
    : runtime_(runtime),
      platform_(platform),
      hooks_(std::move(hooks)),
      follower_({runtime.settings.vm, runtime.settings.checkpoint_interval}),
      checkpoint_timer_(runtime.io) {}

void TableFollower::Start() {
  asio::co_spawn(runtime_.io, FollowLog(), asio::detached);
  asio::co_spawn(runtime_.io, RenewCheckpoints(), asio::detached);
}

void TableFollower::Adopt(TableVersion version,
                          std::string csv,
                          LogOffset next) {
  Report(follower_.OnPeerSnapshot({version, "", std::move(csv), next}, Now()));
}

std::optional<table::Checkpoint> TableFollower::Newest() const {
  return follower_.SnapshotForPeers();
}

std::string TableFollower::RenderPage() const {
  const table::VersionLog& versions = follower_.versions();
  return json::serialize(
      json::object{{"vm", runtime_.settings.vm},
                   {"version", ToIndex(versions.active_table().version)},
                   {"author", versions.author()},
                   {"next_offset", ToIndex(versions.next_offset())},
                   {"exact", versions.complete()},
                   {"csv", versions.csv()}});
}

asio::awaitable<void> TableFollower::FollowLog() {
  for (;;) {
    const LogOffset from = follower_.versions().next_offset();
    const auto read = co_await platform_.Read(
        std::string(platform::kTableStream), from, table::Follower::kReadWait,
        table::Follower::kReadTimeout - table::Follower::kReadWait);
    if (read.status == platform::Status::kDone) {
      TakePage(from, read.page);
      continue;
    }
    if (!patient_read_) {
      asio::co_spawn(runtime_.io, ReadPatiently(), asio::detached);
    }
    const Duration delay = follower_.OnReadFailed(Now());
    ReportCaughtUp();
    asio::steady_timer timer(runtime_.io, delay);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> TableFollower::ReadPatiently() {
  patient_read_ = true;
  const LogOffset from = follower_.versions().next_offset();
  const auto read = co_await platform_.Read(std::string(platform::kTableStream),
                                            from, Duration::zero(),
                                            table::Follower::kSlowReadTimeout);
  patient_read_ = false;
  if (read.status == platform::Status::kDone) {
    TakePage(from, read.page);
  }
}

void TableFollower::TakePage(LogOffset from, const LogPage& page) {
  const auto due = follower_.checkpoint_due();
  Report(follower_.OnPage(from, page, Now()));
  if (follower_.checkpoint_due() != due) {
    checkpoint_timer_.cancel();
  }
}

asio::awaitable<void> TableFollower::RenewCheckpoints() {
  for (;;) {
    const auto due = follower_.checkpoint_due();
    checkpoint_timer_.expires_at(due.value_or(TimePoint::max()));
    boost::system::error_code error;
    co_await checkpoint_timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, error));
    if (!due || Now() < *due || follower_.checkpoint_due() != due) {
      continue;
    }
    const table::Checkpoint checkpoint = follower_.MakeCheckpoint();
    const std::string id = runtime_.settings.vm + "-checkpoint-" +
                           std::to_string(ToIndex(checkpoint.end_offset));
    std::vector<platform::NewRecord> records;
    records.push_back({id, table::ToPayload(checkpoint)});
    const auto append = co_await platform_.Append(
        std::string(platform::kTableStream), std::move(records));
    follower_.OnCheckpointAppended(append.status == platform::Status::kDone,
                                   Now());
  }
}

void TableFollower::Report(const table::FollowerOutcome& outcome) {
  if (outcome.log_lost_records) {
    log::Write(log::Severity::kError, kPart,
               "The log lost records; the version in force is kept.");
  }
  if (outcome.contradiction) {
    log::Write(log::Severity::kError, kPart,
               "A checkpoint contradicts the log and was not taken.");
  }
  if (outcome.changed) {
    hooks_.in_force(follower_.versions().active_table());
  }
  ReportCaughtUp();
}

void TableFollower::ReportCaughtUp() {
  if (!caught_up_ && follower_.caught_up()) {
    caught_up_ = true;
    hooks_.caught_up();
  }
}

}  // namespace kingcupshed::daemon
