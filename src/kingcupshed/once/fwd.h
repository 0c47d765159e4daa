#pragma once

namespace kingcupshed::once {

struct Claim;
struct Release;
struct Request;
struct Decision;
struct Limits;
class ResponseCache;
class ClaimArbiter;

}  // namespace kingcupshed::once
