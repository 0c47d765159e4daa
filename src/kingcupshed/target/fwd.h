#pragma once

namespace kingcupshed::target {

struct TargetInfo;

}  // namespace kingcupshed::target
