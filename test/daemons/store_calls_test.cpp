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

TEST_CASE("calls are counted by what they are for") {
  // The store's rates are the whole site's. When they run out, whoever looks
  // has to see which part of the system spends them.
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

TEST_CASE("a client's own look at its calls goes on") {
  event_loop Loop;
  event_log Log{Loop, "balancer-1"};
  metrics Metrics;
  store_calls Calls{Loop, Log, Metrics};
  int Seen = 0;
  platform_client_settings Settings;
  Settings.OnCallEnd = [&](const platform_call_end &) { ++Seen; };
  counted(Settings, Calls)
      .OnCallEnd(callOf(platform_verb::Read, {"site", "routes"}));

  CHECK(Seen == 1);
  CHECK(Calls.counts().at("read site/routes") == 1);
}
