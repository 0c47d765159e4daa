#pragma once

namespace kingcupshed::peer {

namespace wire {

class Gossip;
class KeptAnswer;
class KeptAnswerRequest;
class Published;
class PublishedRequest;
class RoutesDocument;
class RoutesRequest;

}  // namespace wire

class Client;

}  // namespace kingcupshed::peer
