#pragma once

#include "kingcupshed/core/ids.h"

namespace kingcupshed {

enum class Rank : unsigned char;
struct LoadReport;
template <typename Id>
class Names;

}  // namespace kingcupshed
