#pragma once

namespace kingcupshed::metrics {

class TextPage;

}  // namespace kingcupshed::metrics
