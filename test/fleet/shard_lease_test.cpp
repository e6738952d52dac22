#include "fleet/fake_platform.h"
#include "fleet/shard_lease.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using marjoramrail::testing::fake_platform;
using namespace std::chrono_literals;

namespace {

/// One node that competes for shard 0. While Paused its ticks do not run, as
/// in a frozen process, and what it is told waits.
struct contender {
  contender(timer_service &Timers, fake_platform &Platform, std::string Name)
      : Writer(Timers, Platform.api(&Link), Name, Counters),
        Lease(Timers, Writer, {.Shard = 0, .Name = Name, .Length = 6s},
              {.OnHeld = [this](std::uint64_t) { ++TimesHeld; },
               .OnLost = [this] { ++TimesLost; }}) {
    Lease.setCandidate(true);
    Timers.every(500ms, [this] {
      if (!Paused)
        Lease.tick();
    });
  }

  marjoramrail::testing::platform_link Link;
  bool Paused = false;
  int TimesHeld = 0;
  int TimesLost = 0;
  fleet_counters Counters;
  platform_writer Writer;
  shard_lease Lease;
};

struct lease_fixture {
  timer_service Timers;
  fake_platform Platform{Timers};

  void run(duration Time) { Timers.advance(Timers.now() + Time); }
};

} // namespace

TEST_CASE("two contenders that start at once: one holds") {
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  contender Second(Fixture.Timers, Fixture.Platform, "b");

  for (int I = 0; I < 300; ++I) {
    Fixture.run(100ms);
    CHECK_FALSE((First.Lease.holds() && Second.Lease.holds()));
  }

  CHECK(First.TimesHeld + Second.TimesHeld == 1);
}

TEST_CASE("a lease is taken over after its holder died, not before") {
  // The holder's VM dies. Until another node takes the duty, no change of
  // membership is written; if one took it too early, two would write.
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.run(2s);
  REQUIRE(First.Lease.holds());
  contender Second(Fixture.Timers, Fixture.Platform, "b");
  Fixture.run(10s);
  REQUIRE_FALSE(Second.Lease.holds());

  First.Paused = true;
  Fixture.run(4s);
  CHECK_FALSE(Second.Lease.holds());
  Fixture.run(6s);
  CHECK(Second.Lease.holds());
  CHECK_FALSE(First.Lease.holds());
}

TEST_CASE("a holder that was paused cannot renew under its old term") {
  // A hypervisor pauses the VM of the holder for longer than the lease. It
  // wakes up in the belief that nothing has happened and goes on at once.
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.run(2s);
  contender Second(Fixture.Timers, Fixture.Platform, "b");
  Fixture.run(1s);
  First.Paused = true;
  Fixture.run(15s);
  REQUIRE(Second.Lease.holds());

  First.Paused = false;
  Fixture.run(3s);
  CHECK(Second.Lease.holds());
  CHECK_FALSE(First.Lease.holds());
  CHECK(First.TimesLost == 1);
  CHECK(Second.Lease.term() == 2);
}

TEST_CASE("the lease counts from before the write, however late the answer") {
  // Each write takes effect at once but its answer needs 2.5 s, and then
  // the holder's way to the platform fails. Counting from the answer, it would
  // believe in a lease that the second has rightly taken over meanwhile.
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  First.Link.ReplyDelay = 2500ms;
  Fixture.run(6s);
  REQUIRE(First.Lease.holds());
  First.Link.Cut = true;
  contender Second(Fixture.Timers, Fixture.Platform, "b");

  bool Both = false;
  for (int I = 0; I < 200; ++I) {
    Fixture.run(100ms);
    Both = Both || (First.Lease.holds() && Second.Lease.holds());
  }
  CHECK_FALSE(Both);
  CHECK(Second.Lease.holds());
}

TEST_CASE("a claim whose answer was lost is found by reading back") {
  // The write took effect, the connection broke before the answer came. A node
  // that took this for a failure would wait out its own lease.
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.Platform.LoseAnswers = 1;

  Fixture.run(2s);

  CHECK(First.Lease.holds());
  CHECK(First.Lease.term() == 1);
  CHECK(First.Counters.WritesResolved == 1);
}

TEST_CASE("a claim that got lost on its way is made again") {
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.Platform.LoseWrites = 1;

  Fixture.run(2s);

  CHECK(First.Lease.holds());
  CHECK(First.Lease.term() == 1);
}

TEST_CASE("an outage of the platform ends the lease by the holder's clock") {
  // The platform is down for a minute. The holder cannot renew; it must stop
  // acting before anyone could take over, and one takes over afterwards.
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.run(2s);
  Fixture.Platform.Down = true;
  Fixture.run(7s);
  CHECK_FALSE(First.Lease.holds());

  Fixture.run(60s);
  Fixture.Platform.Down = false;
  Fixture.run(10s);
  CHECK(First.Lease.holds());
  CHECK(First.Lease.term() == 2);
}

TEST_CASE("an older state of the platform does not free a lease") {
  // After an outage a replica of the platform answers from before the lease
  // was taken. An observer that believed it would claim a lease that is held;
  // the write is conditional, so the claim fails too.
  lease_fixture Fixture;
  Fixture.Platform.saveOlder();
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.run(2s);
  REQUIRE(First.Lease.holds());

  contender Second(Fixture.Timers, Fixture.Platform, "b");
  Fixture.Platform.ServeOlder = true;
  Fixture.run(20s);

  CHECK(First.Lease.holds());
  CHECK(First.TimesLost == 0);
  CHECK_FALSE(Second.Lease.holds());
}

TEST_CASE("a released lease is taken at once") {
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.run(2s);
  contender Second(Fixture.Timers, Fixture.Platform, "b");
  Fixture.run(1s);

  First.Lease.setCandidate(false);
  // Half a second to give it back, one second until the next look.
  Fixture.run(2s);

  CHECK(Second.Lease.holds());
  CHECK(Second.Lease.term() == 2);
}
