#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/platform/store.h"

namespace kingcupshed::daemon {

/// Outcome of a read of a topic that others follow.
struct TopicRead {
  platform::StoreStatus status = platform::StoreStatus::kNotDone;
  /// True if every record that the log had when the read was sent has arrived.
  bool complete = false;
};

/// Reads the records of a keyed topic from an offset on, without waiting for
/// one, or lists the newest record of each key if no offset is given.
/// @param from Offset to continue from, or nothing.
/// @param on_first_listing Called with the first of the two listings that are
///   needed, as soon as it is received; it may lack some of the newest records.
[[nodiscard]] boost::asio::awaitable<platform::KeyedPage> ReadTopic(
    const platform::Store& store,
    std::string topic,
    std::optional<LogOffset> from,
    std::function<void(const platform::KeyedPage&)> on_first_listing);

}  // namespace kingcupshed::daemon
