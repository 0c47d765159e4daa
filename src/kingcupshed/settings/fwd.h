#pragma once

namespace kingcupshed::settings {

struct Settings;
struct Fault;
struct ParsedSettings;

}  // namespace kingcupshed::settings
