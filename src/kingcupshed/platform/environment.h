#pragma once

namespace kingcupshed::platform {

/// Environment variable that holds the path of the settings file on the
/// platform's machines.
inline constexpr const char* kSettingsVariable = "KINGCUPSHED_SETTINGS";

}  // namespace kingcupshed::platform
