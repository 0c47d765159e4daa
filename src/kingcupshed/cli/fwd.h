#pragma once

namespace kingcupshed::cli {

enum class ExitStatus : int;
struct PublishOptions;

}  // namespace kingcupshed::cli
