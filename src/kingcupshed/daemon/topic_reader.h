#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/platform/store.h"

namespace kingcupshed::daemon {

/// Reads the records of a keyed topic from an offset on, or lists the newest
/// record of each key if no offset is given.
/// @param from Offset to continue from, or nothing.
/// @param wait Maximum time to wait for a first record; a listing never waits.
/// @param on_first_listing Called with the first of the two listings that are
///   needed, as soon as it is received; it may lack some of the newest records.
[[nodiscard]] boost::asio::awaitable<platform::KeyedPage> ReadTopic(
    const platform::Store& store,
    std::string topic,
    std::optional<LogOffset> from,
    Duration wait,
    std::function<void(const platform::KeyedPage&)> on_first_listing);

}  // namespace kingcupshed::daemon
