#pragma once

namespace kingcupshed::settings {

struct Settings;
struct ValidationError;
struct ParsedSettings;

}  // namespace kingcupshed::settings
