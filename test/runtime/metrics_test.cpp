#include "marjoramrail/runtime.h"

#include <doctest/doctest.h>

using namespace marjoramrail;

TEST_CASE("the metrics page states the type of each value") {
  metrics Metrics;
  ++Metrics.counter("answers_total", "class=\"2xx\"");
  Metrics.gauge("flows", [] { return 7.0; });
  Metrics.counterOf("resets", [] { return 3.0; });
  const std::string Page = Metrics.page();

  CHECK(Page.find("# TYPE answers_total counter\n"
                  "answers_total{class=\"2xx\"} 1\n") != std::string::npos);
  CHECK(Page.find("# TYPE flows gauge\nflows 7\n") != std::string::npos);
  CHECK(Page.find("# TYPE resets counter\nresets 3\n") != std::string::npos);
}

TEST_CASE("a distribution shows quantiles, count and sum") {
  metrics Metrics;
  for (int Value = 1; Value <= 100; ++Value)
    Metrics.observe("took", Value);
  const std::string Page = Metrics.page();

  CHECK(Page.find("took{quantile=\"0.5\"}") != std::string::npos);
  CHECK(Page.find("took_count 100\n") != std::string::npos);
  CHECK(Page.find("took_sum 5050\n") != std::string::npos);
  CHECK(Page.find("took_max 100\n") != std::string::npos);
}
