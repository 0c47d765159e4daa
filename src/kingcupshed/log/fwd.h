#pragma once

namespace kingcupshed::log {

enum class Severity : unsigned char;

}  // namespace kingcupshed::log
