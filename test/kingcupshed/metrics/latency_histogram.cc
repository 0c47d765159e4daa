#include "kingcupshed/metrics/latency_histogram.h"

#include <boost/test/unit_test.hpp>

#include "kingcupshed/metrics/prometheus_page.h"

namespace kingcupshed::metrics {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(LatencyHistogramTest)

BOOST_AUTO_TEST_CASE(BucketsAreCumulative) {
  LatencyHistogram histogram;
  for (const int ms : {0, 3, 120, 120, 900, 60'000}) {
    histogram.Add(milliseconds(ms));
  }
  const auto buckets = histogram.CumulativeBuckets();
  std::uint64_t previous = 0;
  for (const auto& bucket : buckets) {
    BOOST_TEST(bucket.count >= previous);
    previous = bucket.count;
  }
  BOOST_TEST(buckets.front().count == 1U);
  BOOST_TEST(buckets.back().count == 6U);
  BOOST_TEST((buckets.back().upper_bound == Duration::max()));
  for (const auto& bucket : buckets) {
    if (bucket.upper_bound == milliseconds(150)) {
      BOOST_TEST(bucket.count == 4U);
    }
  }
  BOOST_TEST((histogram.sum() == milliseconds(61'143)));
}

BOOST_AUTO_TEST_CASE(IsRenderedInPrometheusFormat) {
  LatencyHistogram histogram;
  histogram.Add(milliseconds(120));
  PrometheusPage page;
  page.AddHistogram("answer_seconds", {{"service", "a"}}, histogram);
  const std::string& text = page.text();
  const auto has = [&text](const char* line) {
    return text.find(line) != std::string::npos;
  };
  BOOST_TEST(has("# TYPE answer_seconds histogram\n"));
  BOOST_TEST(has("answer_seconds_bucket{service=\"a\",le=\"0.1\"} 0\n"));
  BOOST_TEST(has("answer_seconds_bucket{service=\"a\",le=\"0.15\"} 1\n"));
  BOOST_TEST(has("answer_seconds_bucket{service=\"a\",le=\"+Inf\"} 1\n"));
  BOOST_TEST(has("answer_seconds_count{service=\"a\"} 1\n"));
  BOOST_TEST(has("answer_seconds_sum{service=\"a\"} 0.12\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kingcupshed::metrics
