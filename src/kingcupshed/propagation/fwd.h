#pragma once

namespace kingcupshed::propagation {

class HeldRequests;
class Schedule;
class SourceOrder;

}  // namespace kingcupshed::propagation
