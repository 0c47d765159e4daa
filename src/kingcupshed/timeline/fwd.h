#pragma once

namespace kingcupshed::timeline {

enum class HybridTime : unsigned long;
struct Event;
class HybridClock;
class Recorder;

}  // namespace kingcupshed::timeline
