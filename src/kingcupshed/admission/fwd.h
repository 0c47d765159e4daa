#pragma once

namespace kingcupshed::admission {

struct QueuedCall;
struct RankShare;
class RankQueues;
class RowLimits;

}  // namespace kingcupshed::admission
