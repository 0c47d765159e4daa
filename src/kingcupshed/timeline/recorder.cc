#include "kingcupshed/timeline/recorder.h"

#include <utility>

namespace kingcupshed::timeline {

Recorder::Recorder(std::string process, std::size_t capacity)
    : process_(std::move(process)), capacity_(capacity) {}

void Recorder::Record(Event event, WallTime now) {
  event.time = clock_.Next(now);
  event.process = process_;
  if (sink_) {
    sink_(event);
  }
  events_.push_back(std::move(event));
  if (events_.size() > capacity_) {
    events_.pop_front();
  }
}

void Recorder::SetSink(std::function<void(const Event&)> sink) {
  sink_ = std::move(sink);
}

}  // namespace kingcupshed::timeline
