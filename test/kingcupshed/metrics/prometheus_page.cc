#include "kingcupshed/metrics/prometheus_page.h"

#include <boost/test/unit_test.hpp>

namespace kingcupshed::metrics {

BOOST_AUTO_TEST_SUITE(PrometheusPageTest)

BOOST_AUTO_TEST_CASE(WritesEachTypeLineOnceAndEscapesLabelValues) {
  PrometheusPage page;
  page.AddCounter("calls_total", {{"service", "a\"b"}, {"rank", "1"}}, 12);
  page.AddCounter("calls_total", {{"service", "c"}, {"rank", "2"}}, 3);
  page.AddGauge("connections", {}, 0.5);
  BOOST_TEST(page.text() ==
             "# TYPE calls_total counter\n"
             "calls_total{service=\"a\\\"b\",rank=\"1\"} 12\n"
             "calls_total{service=\"c\",rank=\"2\"} 3\n"
             "# TYPE connections gauge\n"
             "connections 0.5\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::metrics
