#pragma once

#include <string_view>

namespace standin {

struct LoadCall;

/// Tells whether a body is the whole answer that the target stand-in gives to
/// this call, and to no other.
[[nodiscard]] bool IsOwnAnswer(const LoadCall& call, std::string_view body);

}  // namespace standin
