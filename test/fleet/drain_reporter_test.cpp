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
  std::optional<drain_status> Status;
  drain_reporter Reporter{Timers, Platform.api(), "ledger-2",
                          [this] { return Status; }};

  void runFor(std::int64_t Seconds) {
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

TEST_CASE_FIXTURE(
    draining_host,
    "drain_reporter publishes the progress of a drain until its end") {
  Status = statusOf(12);
  runFor(2);
  CHECK(stored() == toJson(statusOf(12)));

  Status = statusOf(0);
  runFor(2);

  CHECK(stored() == toJson(statusOf(0)));
}

TEST_CASE_FIXTURE(
    draining_host,
    "drain_reporter writes nothing while the status is unchanged") {
  Status = statusOf(12);
  runFor(2);
  const std::uint64_t Before = Platform.Writes;

  runFor(60);

  CHECK(Platform.Writes == Before);
}

TEST_CASE_FIXTURE(draining_host,
                  "drain_reporter removes the status of a previous drain") {
  // A host was drained, replaced and is to be drained again. An operator who
  // reads the old "safe to stop" would stop a VM that holds two thousand flows.
  Platform.put("drain-status", "ledger-2", toJson(statusOf(0)));

  runFor(3);

  CHECK(stored().empty());
}

TEST_CASE_FIXTURE(draining_host,
                  "drain_reporter continues after answers were lost") {
  // A write takes effect but its answer is lost. The next write then meets a
  // version that the host has not seen; if it never recovered, the operator
  // would wait for ever.
  Platform.LoseAnswers = 1;
  Status = statusOf(12);
  runFor(2);
  Status = statusOf(0);

  runFor(5);

  CHECK(stored() == toJson(statusOf(0)));
}

TEST_CASE_FIXTURE(draining_host,
                  "drain_reporter publishes the end after a platform outage") {
  Status = statusOf(12);
  runFor(2);
  Platform.Down = true;
  Status = statusOf(0);
  runFor(30);
  Platform.Down = false;

  runFor(3);

  CHECK(stored() == toJson(statusOf(0)));
}
