#pragma once

namespace kingcupshed::credit {

struct Transfer;
class Ledger;

}  // namespace kingcupshed::credit
