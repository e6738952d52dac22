#include "fleet/fake_platform.h"
#include "fleet/shard_lease.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using marjoramrail::testing::fake_platform;
using namespace std::chrono_literals;

namespace {

/// One node that competes for shard 0. While Paused, its ticks do not run, as
/// in a frozen process.
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

TEST_CASE("of two contenders that start at once, one holds the lease") {
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
  // The lease holder's VM dies. Until another node takes the lease, no change
  // of membership is written; if it took the lease too early, two nodes would
  // write.
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
  // A hypervisor pauses the VM of the lease holder for longer than the lease.
  // It resumes without knowing that time has passed and acts at once.
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

TEST_CASE("the lease counts from before the write, not from the answer") {
  // Each write takes effect at once but its answer needs 2.5 s, and then the
  // holder loses its connection to the platform. If the lease counted from the
  // answer, the holder would still use it after the second node has rightly
  // taken over.
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
  // The write took effect, but the connection broke before the answer came. A
  // node that treated this as a failure would wait until its own lease expires.
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.Platform.LoseAnswers = 1;

  Fixture.run(2s);

  CHECK(First.Lease.holds());
  CHECK(First.Lease.term() == 1);
  CHECK(First.Counters.WritesResolved == 1);
}

TEST_CASE("a claim that was lost on its way is repeated") {
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.Platform.LoseWrites = 1;

  Fixture.run(2s);

  CHECK(First.Lease.holds());
  CHECK(First.Lease.term() == 1);
}

TEST_CASE("an outage of the platform ends the lease by the holder's clock") {
  // The platform is down for a minute. The holder cannot renew; it must stop
  // acting before any node could take over, and the lease is acquired again
  // afterwards.
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
  // After an outage a replica of the platform answers from before the lease was
  // acquired. An observer that accepted this would claim a lease that is held;
  // since the write is conditional, the claim fails too.
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

TEST_CASE("a released lease is acquired at once") {
  lease_fixture Fixture;
  contender First(Fixture.Timers, Fixture.Platform, "a");
  Fixture.run(2s);
  contender Second(Fixture.Timers, Fixture.Platform, "b");
  Fixture.run(1s);

  First.Lease.setCandidate(false);
  // Half a second to release it, one second until the next read.
  Fixture.run(2s);

  CHECK(Second.Lease.holds());
  CHECK(Second.Lease.term() == 2);
}
