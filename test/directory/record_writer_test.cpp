#include "directory/record_writer.h"
#include "directory/site_store.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// A writer whose writes are answered by the test.
struct writer_fixture {
  struct sent_write {
    platform_write Write;
    platform_callback Done;
  };

  timer_service Timers;
  route_record Record{60s};
  duration WaitForOthers = 0ms;
  duration RetryDelay = 600ms;
  std::vector<sent_write> Sent;
  std::shared_ptr<const route_services> Current =
      std::make_shared<const route_services>();
  record_writer Writer{Timers, Record, {"marjoramrail", "routes"}, hooks()};

  record_writer::hooks hooks() {
    record_writer::hooks Hooks;
    Hooks.Configured = [this] { return Current; };
    Hooks.WaitForOthers = [this](instant) { return WaitForOthers; };
    Hooks.RetryDelay = [this](instant) { return RetryDelay; };
    Hooks.Write = [this](const platform_write &Write, platform_callback Done) {
      Sent.push_back({Write, std::move(Done)});
    };
    Hooks.OnRecord = [] {};
    Hooks.OnWritten = [](const platform_reply &, duration) {};
    return Hooks;
  }

  void configure(std::uint64_t Version, const std::string &Service) {
    Current =
        std::make_shared<const route_services>(tableOf(Version, {Service}));
    Record.noteConfigured(Current, Timers.now());
    Writer.requestUpdate();
  }

  void storeHolds(std::uint64_t Version, const std::string &Body) {
    platform_object Object;
    Object.Version = Version;
    Object.Body = Body;
    Writer.take(Object);
  }

  void check() { Writer.check(); }
  void pass(duration Time) { Timers.advance(Timers.now() + Time); }

  void answer(platform_outcome Outcome, std::uint64_t Version = 0,
              const std::string &Body = "") {
    platform_reply Reply;
    Reply.Outcome = Outcome;
    Reply.Object.Version = Version;
    Reply.Object.Body = Body;
    const platform_callback Done = std::move(Sent.back().Done);
    Done(Reply);
  }

  /// Whether the last write that was sent names \p Service.
  bool writes(const std::string &Service) const {
    route_record Written(60s);
    Written.load(Sent.back().Write.Object.Body);
    return Written.holds(FirstAddress, Service);
  }
};

constexpr const char *LedgerOnRecord = R"({"10.0.0.1:443": ["ledger"]})";

} // namespace

TEST_CASE_FIXTURE(writer_fixture,
                  "one write names the services of all configurations") {
  storeHolds(5, LedgerOnRecord);
  configure(1, "ledger");
  configure(2, "archive");
  configure(3, "lookup");
  check();

  REQUIRE(Sent.size() == 1);
  CHECK(Sent.back().Write.Expected == 5);
  for (const char *Service : {"ledger", "archive", "lookup"})
    CHECK(writes(Service));
}

TEST_CASE_FIXTURE(writer_fixture,
                  "a service that arrives during a write is written next") {
  // Guards against an answer that ends the need for later services too.
  configure(1, "ledger");
  check();
  configure(2, "archive");
  configure(3, "ledger");
  answer(platform_outcome::Ok, 6);
  check();

  REQUIRE(Sent.size() == 2);
  CHECK(Sent.back().Write.Expected == 6);
  CHECK(writes("archive"));
}

TEST_CASE_FIXTURE(
    writer_fixture,
    "a successful write is not repeated before a watch tells it") {
  configure(1, "ledger");
  check();
  answer(platform_outcome::Ok, 6);
  check();

  CHECK(Sent.size() == 1);
  CHECK(Record.holds(FirstAddress, "ledger"));
}

TEST_CASE_FIXTURE(
    writer_fixture,
    "a service whose write came second is written again at once") {
  // Guards against a service that loses to the writes of another balancer,
  // which checks at the same moments, until it is in use.
  configure(1, "archive");
  check();
  answer(platform_outcome::Conflict, 7, LedgerOnRecord);

  REQUIRE(Sent.size() == 2);
  CHECK(Sent.back().Write.Expected == 7);
  CHECK(writes("ledger"));
  CHECK(writes("archive"));
}

TEST_CASE_FIXTURE(writer_fixture, "a service that another write has recorded "
                                  "is not written again") {
  configure(1, "ledger");
  check();
  answer(platform_outcome::Conflict, 7, LedgerOnRecord);
  check();

  CHECK(Sent.size() == 1);
}

TEST_CASE_FIXTURE(writer_fixture, "a failed write is repeated after a pause") {
  for (const auto Outcome :
       {platform_outcome::Unavailable, platform_outcome::Unknown,
        platform_outcome::Conflict}) {
    configure(1, "archive");
    check();
    const std::size_t Before = Sent.size();
    answer(Outcome);
    check();
    CHECK(Sent.size() == Before);
    pass(RetryDelay);
    check();
    CHECK(Sent.size() == Before + 1);
  }
}

TEST_CASE_FIXTURE(writer_fixture,
                  "a replaced service is written after failures "
                  "though a newer one is on record") {
  // Guards against services that the store refused when they were configured.
  storeHolds(5, LedgerOnRecord);
  configure(1, "archive");
  check();
  answer(platform_outcome::Unavailable);
  configure(2, "ledger");
  pass(RetryDelay);
  check();

  REQUIRE(Sent.size() == 2);
  CHECK(writes("archive"));
}

TEST_CASE_FIXTURE(writer_fixture,
                  "later services do not extend the wait of earlier ones") {
  // Guards against a storm in which nobody writes in place of the first
  // balancer.
  WaitForOthers = 500ms;
  for (std::uint64_t Version = 1; Version <= 4; ++Version) {
    CHECK(Sent.empty());
    configure(Version, "service-" + std::to_string(Version));
    Writer.restartUpdate();
    check();
    pass(160ms);
  }
  check();

  REQUIRE(Sent.size() == 1);
  CHECK(writes("service-1"));
}

TEST_CASE_FIXTURE(writer_fixture, "what another balancer has written is not "
                                  "written again") {
  WaitForOthers = 500ms;
  configure(1, "ledger");
  pass(300ms);
  check();
  storeHolds(6, LedgerOnRecord);
  pass(700ms);
  check();

  CHECK(Sent.empty());
}

TEST_CASE_FIXTURE(writer_fixture, "an older record is ignored") {
  storeHolds(6, LedgerOnRecord);
  storeHolds(5, "{}");

  CHECK(Record.holds(FirstAddress, "ledger"));
}

TEST_CASE_FIXTURE(writer_fixture, "a removed record is created again") {
  storeHolds(6, LedgerOnRecord);
  platform_object Removed;
  Removed.Version = 7;
  Removed.Deleted = true;
  Writer.take(Removed);
  configure(1, "archive");
  check();

  REQUIRE(Sent.size() == 1);
  CHECK(Sent.back().Write.Expected == 0);
  CHECK(writes("ledger"));
}
