#pragma once

namespace kingcupshed::once {

struct Claim;
struct Release;
struct Request;
struct Decision;
struct Limits;
class AnswerStore;
class Claims;

}  // namespace kingcupshed::once
