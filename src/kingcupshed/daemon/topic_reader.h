#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "kingcupshed/core/log_record.h"
#include "kingcupshed/core/time.h"
#include "kingcupshed/platform/store.h"

namespace kingcupshed::daemon {

/// Reads on from an offset of a keyed topic, or everything when there is none.
/// @param wait Longest wait for a first record.
/// @param take_early Gets what is known before everything is.
[[nodiscard]] boost::asio::awaitable<platform::KeyedPage> ReadTopic(
    const platform::Store& store,
    std::string topic,
    std::optional<LogOffset> next,
    Duration wait,
    std::function<void(const platform::KeyedPage&)> take_early);

}  // namespace kingcupshed::daemon
