#pragma once

namespace kingcupshed::http {

struct FetchRequest;
struct FetchResult;
struct KeyedCall;
struct KeyDecision;
struct Refusal;
class ActionReceiver;
class CallMachine;
class DispatchDriver;
class IdempotencyGuard;
class Server;

}  // namespace kingcupshed::http
