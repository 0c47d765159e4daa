#include "kingcupshed/catalog/target_catalog.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcupshed::catalog {

namespace {

/// Time after the store's return within which living targets have registered
/// again (two seconds), and a little for the reading.
constexpr Duration kReturnTime = std::chrono::milliseconds(2200);
/// A removed target is forgotten after this time; no call is under way then.
constexpr Duration kForgetAfter = std::chrono::seconds(30);

bool IsNewer(const TargetReport& report, const TargetReport& known) {
  return std::tie(report.incarnation, report.sequence) >
         std::tie(known.incarnation, known.sequence);
}

}  // namespace

bool ReportsChange(const TargetReport& report,
                   const TargetReport& known) noexcept {
  const auto facts = [](const TargetReport& one) {
    return std::tie(one.service, one.zone, one.address, one.slots,
                    one.max_connections, one.draining, one.warmup_remaining,
                    one.incarnation);
  };
  return facts(report) != facts(known);
}

bool TargetCatalog::ApplyReport(TargetReport report,
                                LogOffset offset,
                                TimePoint now) {
  Entry& entry = entries_[report.name];
  const auto found = targets_.find(report.name);
  if (found != targets_.end()) {
    const KnownTarget& known = found->second;
    const bool returns = entry.gone_at && offset > entry.offset;
    const bool same = report.incarnation == known.report.incarnation &&
                      report.sequence == known.report.sequence;
    if (!IsNewer(report, known.report) && !(returns && same)) {
      return false;
    }
    if (offset < entry.offset) {
      return false;
    }
  }
  entry.offset = std::max(entry.offset, offset);
  entry.gone_at.reset();
  KnownTarget& known = targets_[report.name];
  const bool same_life = known.report.incarnation == report.incarnation;
  const bool draining = report.draining || (same_life && known.report.draining);
  const bool was_leaving = known.leaving;
  changed_ |= found == targets_.end() || was_leaving != draining ||
              !same_life || known.report.address != report.address ||
              known.report.service != report.service;
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
      found->second.gone_at) {
    return;
  }
  found->second.offset = offset;
  found->second.gone_at = GoneAt(now);
}

void TargetCatalog::ApplyListing(const std::vector<std::string>& names,
                                 LogOffset end,
                                 TimePoint now) {
  for (auto& [name, entry] : entries_) {
    const bool listed =
        std::find(names.begin(), names.end(), name) != names.end();
    if (!listed && entry.offset < end && !entry.gone_at) {
      entry.gone_at = GoneAt(now);
    }
  }
}

void TargetCatalog::OnOutage(TimePoint now) noexcept {
  outage_ = now;
  back_.reset();
}

void TargetCatalog::OnReadSucceeded(TimePoint now) noexcept {
  if (outage_ && !back_) {
    back_ = now;
  }
}

TimePoint TargetCatalog::GoneAt(TimePoint now) const noexcept {
  if (!back_) {
    return outage_ ? now + kReturnTime : now;
  }
  return std::max(now, *back_ + kReturnTime);
}

bool TargetCatalog::Advance(TimePoint now) {
  for (auto next = entries_.begin(); next != entries_.end();) {
    auto here = next++;
    const auto& gone_at = here->second.gone_at;
    if (!gone_at || *gone_at > now) {
      continue;
    }
    const auto target = targets_.find(here->first);
    if (target != targets_.end() && !target->second.leaving) {
      target->second.leaving = true;
      changed_ = true;
    }
    if (*gone_at + kForgetAfter <= now) {
      targets_.erase(here->first);
      entries_.erase(here);
      changed_ = true;
    }
  }
  return std::exchange(changed_, false);
}

}  // namespace kingcupshed::catalog
