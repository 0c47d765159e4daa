#pragma once

namespace kingcupshed::dispatch {

enum class AttemptResult : unsigned char;
enum class RefuseReason : unsigned char;
struct Config;
class Dispatcher;

}  // namespace kingcupshed::dispatch
