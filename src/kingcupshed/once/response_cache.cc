#include "kingcupshed/once/response_cache.h"

#include <utility>

namespace kingcupshed::once {

ResponseCache::ResponseCache(std::size_t max_runs, std::size_t max_bytes)
    : max_runs_(max_runs), max_bytes_(max_bytes) {}

void ResponseCache::Start(const std::string& claim) {
  runs_[claim].state = RunState::kRunning;
}

void ResponseCache::End(const std::string& claim,
                        RunState state,
                        CachedResponse answer) {
  const auto found = runs_.find(claim);
  if (found == runs_.end() || found->second.state != RunState::kRunning) {
    return;
  }
  bytes_ += answer.body.size();
  found->second = {state, std::move(answer)};
  ended_.push_back(claim);
  Shrink();
}

Run ResponseCache::Find(const std::string& claim) const {
  const auto found = runs_.find(claim);
  return found == runs_.end() ? Run{} : found->second;
}

void ResponseCache::Shrink() {
  while (!ended_.empty() &&
         (ended_.size() > max_runs_ || bytes_ > max_bytes_)) {
    const auto oldest = runs_.find(ended_.front());
    bytes_ -= oldest->second.response.body.size();
    runs_.erase(oldest);
    ended_.pop_front();
  }
}

}  // namespace kingcupshed::once
