#include "store_calls.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::daemons;

namespace {

platform_call_end callOf(platform_verb Verb, object_key Key) {
  platform_call_end End;
  End.Verb = Verb;
  End.Key = std::move(Key);
  return End;
}

} // namespace

TEST_CASE("store calls are counted by purpose") {
  // The whole site shares the store's rate limits. When they are exceeded, an
  // operator must see which part of the system makes the calls.
  event_loop Loop;
  event_log Log{Loop, "balancer-1"};
  metrics Metrics;
  store_calls Calls{Loop, Log, Metrics};
  Calls.take(callOf(platform_verb::Watch, {"config", ""}));
  Calls.take(callOf(platform_verb::Write, {"site", "target.web-1"}));
  Calls.take(callOf(platform_verb::Write, {"site", "target.web-2"}));

  CHECK(Calls.text() == "watch config 1, write site/target 2");
  CHECK(Metrics.page().find("purpose=\"write site/target\"} 2") !=
        std::string::npos);
}

TEST_CASE("counting keeps the hook that a client already has") {
  event_loop Loop;
  event_log Log{Loop, "balancer-1"};
  metrics Metrics;
  store_calls Calls{Loop, Log, Metrics};
  int Seen = 0;
  platform_client_settings Settings;
  Settings.OnCallEnd = [&](const platform_call_end &) { ++Seen; };
  withCallCounts(Settings, Calls)
      .OnCallEnd(callOf(platform_verb::Read, {"site", "routes"}));

  CHECK(Seen == 1);
  CHECK(Calls.counts().at("read site/routes") == 1);
}
