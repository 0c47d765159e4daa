#pragma once

namespace kingcupshed::lifecycle {

enum class Phase : unsigned char;
enum class Action : unsigned char;
class Lifecycle;

}  // namespace kingcupshed::lifecycle
