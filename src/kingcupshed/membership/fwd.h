#pragma once

namespace kingcupshed::membership {

struct VmState;
struct DrainMark;
struct Message;
struct Envelope;
struct Config;
class Membership;

}  // namespace kingcupshed::membership
