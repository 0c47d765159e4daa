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

/// State that the parts of one VM share; all run on the one thread of `io`.
struct Runtime {
  explicit Runtime(const settings::Settings& settings)
      : settings(settings), recorder(settings.vm, settings.event_capacity) {}

  /// Records an event of a part.
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
  /// The table in force.
  table::Table table;
  /// True once the VM may serve callers.
  bool ready = false;
};

}  // namespace kingcupshed::daemon
