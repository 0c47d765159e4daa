#include "kingcupshed/catalog/target_catalog.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcupshed::catalog {

namespace {

/// Time after the end of a store outage within which running targets have
/// registered again (two seconds), plus some for reading the records.
constexpr Duration kReregistrationTime = std::chrono::milliseconds(2200);
/// Time without a read of the store up to which no entry expires: heartbeats
/// come every 1.5 s, and an entry expires when three are missing.
constexpr Duration kMinExpiry = std::chrono::seconds(2);
/// Time after which a removed target is forgotten; no call to it is in progress
/// by then.
constexpr Duration kForgetAfter = std::chrono::seconds(30);

bool IsNewer(const TargetReport& report, const TargetReport& known) {
  return std::tie(report.incarnation, report.sequence) >
         std::tie(known.incarnation, known.sequence);
}

}  // namespace

bool ReportsChange(const TargetReport& report,
                   const TargetReport& known) noexcept {
  const auto properties = [](const TargetReport& one) {
    return std::tie(one.service, one.zone, one.address, one.slots,
                    one.max_connections, one.draining, one.warmup_remaining,
                    one.incarnation);
  };
  return properties(report) != properties(known);
}

bool TargetCatalog::ApplyReport(TargetReport report,
                                LogOffset offset,
                                TimePoint now) {
  Entry& entry = entries_[report.name];
  const auto found = targets_.find(report.name);
  if (found != targets_.end()) {
    const KnownTarget& known = found->second;
    const bool restored = entry.removed_at && offset > entry.offset;
    const bool same_heartbeat =
        report.incarnation == known.report.incarnation &&
        report.sequence == known.report.sequence;
    if (!IsNewer(report, known.report) && !(restored && same_heartbeat)) {
      return false;
    }
    if (offset < entry.offset) {
      return false;
    }
  }
  entry.offset = std::max(entry.offset, offset);
  entry.removed_at.reset();
  KnownTarget& known = targets_[report.name];
  const bool same_incarnation = known.report.incarnation == report.incarnation;
  const bool draining =
      report.draining || (same_incarnation && known.report.draining);
  const bool was_leaving = known.leaving;
  changed_ |= found == targets_.end() || was_leaving != draining ||
              !same_incarnation || known.report.address != report.address ||
              known.report.service != report.service;
  if (draining && !was_leaving) {
    departures_.push_back({report.name, DepartureSign::kReported});
  }
  known.report = std::move(report);
  known.report.draining = draining;
  known.received_at = now;
  known.leaving = draining;
  return true;
}

void TargetCatalog::ApplyRemoval(const std::string& name,
                                 LogOffset offset,
                                 TimePoint now) {
  const auto found = entries_.find(name);
  if (found == entries_.end() || offset < found->second.offset ||
      found->second.removed_at) {
    return;
  }
  found->second.offset = offset;
  found->second.removed_at = RemovalTime(now);
}

void TargetCatalog::OnLeavingResponse(const std::string& name) {
  const auto found = targets_.find(name);
  if (found == targets_.end()) {
    return;
  }
  KnownTarget& known = found->second;
  known.report.draining = true;
  if (!std::exchange(known.leaving, true)) {
    departures_.push_back({name, DepartureSign::kResponse});
    changed_ = true;
  }
}

void TargetCatalog::ApplyListing(const std::vector<std::string>& names,
                                 LogOffset end,
                                 TimePoint now) {
  for (auto& [name, entry] : entries_) {
    const bool listed =
        std::find(names.begin(), names.end(), name) != names.end();
    if (!listed && entry.offset < end && !entry.removed_at) {
      entry.removed_at = RemovalTime(now);
    }
  }
}

void TargetCatalog::OnOutage() noexcept {
  outage_ = true;
}

void TargetCatalog::OnReadSucceeded(TimePoint now) noexcept {
  if (std::exchange(outage_, false)) {
    registration_end_ = now + kReregistrationTime;
  }
}

void TargetCatalog::OnReadByOthers(Duration gap, TimePoint now) noexcept {
  if (gap >= kMinExpiry) {
    OnReadSucceeded(now);
    return;
  }
  outage_ = false;
}

TimePoint TargetCatalog::RemovalTime(TimePoint now) const noexcept {
  return outage_ ? now + kReregistrationTime
                 : std::max(now, registration_end_.value_or(now));
}

bool TargetCatalog::Advance(TimePoint now) {
  for (auto next = entries_.begin(); next != entries_.end();) {
    auto current = next++;
    const auto& removed_at = current->second.removed_at;
    if (!removed_at || *removed_at > now) {
      continue;
    }
    const auto target = targets_.find(current->first);
    if (target != targets_.end() && !target->second.leaving) {
      target->second.leaving = true;
      departures_.push_back({current->first, DepartureSign::kRemoved});
      changed_ = true;
    }
    if (*removed_at + kForgetAfter <= now) {
      targets_.erase(current->first);
      entries_.erase(current);
      changed_ = true;
    }
  }
  return std::exchange(changed_, false);
}

std::vector<Departure> TargetCatalog::TakeDepartures() noexcept {
  return std::exchange(departures_, {});
}

}  // namespace kingcupshed::catalog
