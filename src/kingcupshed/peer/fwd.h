#pragma once

namespace kingcupshed::peer {

namespace wire {

class Gossip;
class KeptAnswer;
class KeptAnswerRequest;

}  // namespace wire

class Client;

}  // namespace kingcupshed::peer
