#pragma once

namespace kingcupshed::catalog {

struct TargetReport;
class TargetCatalog;

}  // namespace kingcupshed::catalog
