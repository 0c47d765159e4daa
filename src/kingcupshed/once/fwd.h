#pragma once

namespace kingcupshed::once {

struct Claim;
struct Release;
struct Request;
struct Decision;
struct Limits;
class ResponseCache;
class Claims;

}  // namespace kingcupshed::once
