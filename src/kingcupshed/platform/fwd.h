#pragma once

namespace kingcupshed::platform {

struct TargetEntry;
struct VmEntry;
class Client;

}  // namespace kingcupshed::platform
