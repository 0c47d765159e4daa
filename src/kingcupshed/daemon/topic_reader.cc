#include "kingcupshed/daemon/topic_reader.h"

#include <utility>

namespace kingcupshed::daemon {

boost::asio::awaitable<platform::KeyedPage> ReadTopic(
    const platform::Store& store,
    std::string topic,
    std::optional<LogOffset> next,
    Duration wait,
    std::function<void(const platform::KeyedPage&)> take_early) {
  if (next) {
    co_return co_await store.ReadFrom(std::move(topic), *next, wait);
  }
  // The end that a listing names may lie beyond the records that it shows. A
  // second listing shows all that came before the end of the first.
  const platform::KeyedPage first = co_await store.ReadNewest(topic);
  if (first.status != platform::StoreStatus::kDone) {
    co_return first;
  }
  take_early(first);
  platform::KeyedPage second = co_await store.ReadNewest(std::move(topic));
  second.next = first.next;
  co_return second;
}

}  // namespace kingcupshed::daemon
