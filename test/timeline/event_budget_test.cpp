#include "marjoramrail/timeline.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace std::chrono_literals;

TEST_CASE("the rate of events of one kind is limited") {
  // A flood of new flows must not make logging the most expensive work of a
  // small VM.
  event_budget Budget;
  std::size_t Taken = 0;
  for (int Ms = 0; Ms < 10'000; ++Ms)
    Taken += Budget.take(event_kind::FlowRouted, instant(1ms * Ms));

  CHECK(Taken <=
        event_budget::CommonBurst + event_budget::CommonPerSecond * 10);
  CHECK(Taken >= event_budget::CommonPerSecond * 9);
}

TEST_CASE("a flood of successes does not displace failures") {
  event_budget Budget;
  for (int I = 0; I < 10'000; ++I)
    Budget.take(event_kind::RequestSeen, instant(1s));

  CHECK(Budget.take(event_kind::FlowReset, instant(1s)));
  CHECK(Budget.take(event_kind::RequestFailed, instant(1s)));
}

TEST_CASE("the number of dropped events is reported once a second") {
  event_budget Budget;
  for (int I = 0; I < 100; ++I)
    Budget.take(event_kind::RequestSeen, instant(5s));

  CHECK(Budget.takeDroppedCount(event_kind::RequestSeen, instant(5s)) == 40);
  Budget.take(event_kind::RequestSeen, instant(5s));
  CHECK(Budget.takeDroppedCount(event_kind::RequestSeen, instant(5500ms)) == 0);
  CHECK(Budget.takeDroppedCount(event_kind::RequestSeen, instant(6s)) == 1);
}

TEST_CASE("numeric fields are encoded and decoded unchanged") {
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
