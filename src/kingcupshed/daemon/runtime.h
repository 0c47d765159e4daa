#pragma once

#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "kingcupshed/core/ids.h"
#include "kingcupshed/core/names.h"
#include "kingcupshed/settings/settings.h"
#include "kingcupshed/table/table.h"
#include "kingcupshed/timeline/recorder.h"

namespace kingcupshed::daemon {

/// State shared by the parts of one VM; all run on the single thread of `io`.
struct Runtime {
  explicit Runtime(const settings::Settings& settings)
      : settings(settings), recorder(settings.vm, settings.event_capacity) {}

  /// Records an event with the current wall clock time.
  void Record(timeline::Event event) {
    recorder.Record(std::move(event), std::chrono::system_clock::now());
  }

  const settings::Settings& settings;
  boost::asio::io_context io{1};
  timeline::Recorder recorder;
  Names<ServiceId> services;
  Names<TargetId> targets;
  Names<VmId> vms;
  Names<ZoneId> zones;
  Names<RegionId> regions;
  /// The active table.
  table::Table table;
  /// True while the VM may serve callers.
  bool ready = false;
};

}  // namespace kingcupshed::daemon
