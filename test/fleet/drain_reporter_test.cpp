#include "fleet/fake_platform.h"
#include "marjoramrail/fleet.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using std::chrono::seconds;

namespace {

struct draining_host {
  timer_service Timers;
  fake_platform Platform{Timers};
  std::optional<drain_status> Truth;
  drain_reporter Reporter{Timers, Platform.api(), "ledger-2",
                          [this] { return Truth; }};

  void pass(std::int64_t Seconds) {
    Timers.advance(Timers.now() + seconds(Seconds));
  }
  std::string stored() const {
    const platform_object Object = Platform.get("drain-status", "ledger-2");
    return Object.Deleted ? "" : Object.Body;
  }
};

drain_status statusOf(std::uint32_t Flows) {
  return {"ledger-2", Flows, 0, Flows == 0, 7};
}

} // namespace

TEST_CASE_FIXTURE(draining_host, "drain_reporter follows a drain to its end") {
  Truth = statusOf(12);
  pass(2);
  CHECK(stored() == toJson(statusOf(12)));

  Truth = statusOf(0);
  pass(2);

  CHECK(stored() == toJson(statusOf(0)));
}

TEST_CASE_FIXTURE(draining_host,
                  "drain_reporter writes nothing while nothing changes") {
  Truth = statusOf(12);
  pass(2);
  const std::uint64_t Before = Platform.Writes;

  pass(60);

  CHECK(Platform.Writes == Before);
}

TEST_CASE_FIXTURE(draining_host,
                  "drain_reporter takes the status of a former drain away") {
  // A host was drained, replaced and is to be drained again. The operator who
  // finds the old "safe to stop" stops a VM that holds two thousand flows.
  Platform.put("drain-status", "ledger-2", toJson(statusOf(0)));

  pass(3);

  CHECK(stored().empty());
}

TEST_CASE_FIXTURE(draining_host,
                  "drain_reporter goes on after answers were lost") {
  // A write takes effect and its answer is lost: the next one meets a version
  // that the host has not seen, and the operator would wait for ever.
  Platform.LoseAnswers = 1;
  Truth = statusOf(12);
  pass(2);
  Truth = statusOf(0);

  pass(5);

  CHECK(stored() == toJson(statusOf(0)));
}

TEST_CASE_FIXTURE(draining_host,
                  "drain_reporter tells the end after a platform outage") {
  Truth = statusOf(12);
  pass(2);
  Platform.Down = true;
  Truth = statusOf(0);
  pass(30);
  Platform.Down = false;

  pass(3);

  CHECK(stored() == toJson(statusOf(0)));
}
