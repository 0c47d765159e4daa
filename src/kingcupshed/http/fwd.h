#pragma once

namespace kingcupshed::http {

struct FetchRequest;
struct FetchResult;
class ActionReceiver;
class DispatchDriver;
class Server;

}  // namespace kingcupshed::http
