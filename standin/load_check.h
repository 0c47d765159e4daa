#pragma once

#include <string_view>

namespace standin {

struct LoadCall;

/// Returns whether a body is the complete response of the target stand-in to
/// this call and not to another one.
[[nodiscard]] bool IsExpectedResponse(const LoadCall& call,
                                      std::string_view body);

}  // namespace standin
