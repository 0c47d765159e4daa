#pragma once

namespace kingcupshed::routing {

enum class Distance : unsigned char;
struct Request;
struct TargetView;
class Policy;

}  // namespace kingcupshed::routing
