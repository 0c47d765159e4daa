#pragma once

namespace kingcupshed::platform {

enum class Error : unsigned char;
struct TargetEntry;
struct VmEntry;
class Client;

}  // namespace kingcupshed::platform
