#pragma once

namespace kingcupshed::metrics {

class PrometheusPage;

}  // namespace kingcupshed::metrics
