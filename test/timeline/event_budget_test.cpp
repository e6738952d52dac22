#include "marjoramrail/timeline.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace std::chrono_literals;

TEST_CASE("a flood of one kind is bounded") {
  // A storm of new flows must not make the log the heaviest work of a small VM.
  event_budget Budget;
  std::size_t Taken = 0;
  for (int Ms = 0; Ms < 10'000; ++Ms)
    Taken += Budget.take(event_kind::FlowRouted, instant(1ms * Ms));

  CHECK(Taken <=
        event_budget::CommonBurst + event_budget::CommonPerSecond * 10);
  CHECK(Taken >= event_budget::CommonPerSecond * 9);
}

TEST_CASE("failures have room while successes flood") {
  event_budget Budget;
  for (int I = 0; I < 10'000; ++I)
    Budget.take(event_kind::RequestSeen, instant(1s));

  CHECK(Budget.take(event_kind::FlowReset, instant(1s)));
  CHECK(Budget.take(event_kind::RequestFailed, instant(1s)));
}

TEST_CASE("what was left out is told, once a second") {
  event_budget Budget;
  for (int I = 0; I < 100; ++I)
    Budget.take(event_kind::RequestSeen, instant(5s));

  CHECK(Budget.leftOut(event_kind::RequestSeen, instant(5s)) == 40);
  Budget.take(event_kind::RequestSeen, instant(5s));
  CHECK(Budget.leftOut(event_kind::RequestSeen, instant(5500ms)) == 0);
  CHECK(Budget.leftOut(event_kind::RequestSeen, instant(6s)) == 1);
}

TEST_CASE("figures survive their JSON line") {
  timeline_event Event;
  Event.What = event_kind::RequestSlow;
  Event.Request = "ab12";
  Event.Load = 3;
  Event.AgeMs = 40;
  Event.TookMs = 900;
  const auto Back = parseJsonLine(toJsonLine(Event));

  REQUIRE(Back);
  CHECK(*Back == Event);
}
