#pragma once

namespace kingcupshed::daemon {

struct Runtime;

}  // namespace kingcupshed::daemon
