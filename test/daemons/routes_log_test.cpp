#include "routes_log.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::daemons;
using namespace std::chrono_literals;

namespace {

struct routes_log_fixture {
  event_loop Loop;
  event_log Log{Loop, "balancer-1"};
  metrics Metrics;
  routes_log Routes{Log, Metrics};
  routes_progress Progress{.Version = 9,
                           .ObjectVersion = 71,
                           .Source = "10.0.0.5:7000",
                           .FirstKnownAt = instant(10s),
                           .ArrivedAt = instant(10400ms),
                           .KnownAt = instant(10430ms),
                           .ActiveAt = std::nullopt};

  bool hasLogged(const std::string &Text) const {
    return Log.recent().find(Text) != std::string::npos;
  }
  bool shows(const std::string &Text) const {
    return Metrics.page().find(Text) != std::string::npos;
  }
};

} // namespace

TEST_CASE_FIXTURE(routes_log_fixture,
                  "a known configuration is logged with source, age and time") {
  Routes.take(event_kind::RoutesKnown, Progress);

  CHECK(hasLogged("\"event\":\"routes-known\""));
  CHECK(hasLogged("version 9 from 10.0.0.5:7000"));
  CHECK(hasLogged("\"age_ms\":430"));
  CHECK(hasLogged("\"took_ms\":30"));
  CHECK(shows("marjoramrail_routes_seconds_copy_max 0.4"));
  CHECK(shows("marjoramrail_routes_seconds_read_max 0.03"));
  CHECK_FALSE(shows("marjoramrail_routes_seconds_total"));
}

TEST_CASE_FIXTURE(routes_log_fixture,
                  "a configuration in force is logged with its wait") {
  Progress.ActiveAt = instant(11600ms);
  Routes.take(event_kind::RoutesActivated, Progress);

  CHECK(hasLogged("\"event\":\"routes-in-force\""));
  CHECK(hasLogged("\"age_ms\":1600"));
  CHECK(hasLogged("\"took_ms\":1170"));
  CHECK(shows("marjoramrail_routes_seconds_settle_max 1.17"));
  CHECK(shows("marjoramrail_routes_seconds_total_max 1.6"));
}
