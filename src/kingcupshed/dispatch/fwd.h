#pragma once

namespace kingcupshed::dispatch {

enum class AttemptResult : unsigned char;
enum class RefuseReason : unsigned char;
struct Config;
struct Counters;
class Scheduler;
class Dispatcher;

}  // namespace kingcupshed::dispatch
