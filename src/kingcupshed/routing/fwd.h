#pragma once

namespace kingcupshed::routing {

enum class Distance : unsigned char;
struct ChoiceContext;
struct TargetView;
class Policy;

}  // namespace kingcupshed::routing
