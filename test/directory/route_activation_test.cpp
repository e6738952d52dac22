#include "directory/route_activation.h"
#include "directory/site_store.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

struct activation_fixture {
  instant Now{1s};
  route_record Record{60s};
  route_activation Activation;

  activation_fixture() { Record.load(R"({"10.0.0.1:443": ["ledger"]})"); }

  std::vector<std::string> sharesNow() {
    std::vector<std::string> Names;
    for (const route_rule &Rule : Activation.rules(Record))
      for (const service_share &Share : Rule.Shares)
        Names.push_back(Share.Service);
    return Names;
  }

  std::vector<std::string> ownerServicesNow() {
    return Activation.rules(Record).front().OwnerServices;
  }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(activation_fixture, "services on record are used at once") {
  Activation.take(tableOf(1, {"ledger"}), Record, Now);

  CHECK(sharesNow() == names{"ledger"});
  CHECK_FALSE(Activation.nextChange());
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a new service gets flows only after SettleTime") {
  // A route moves to another service. If a balancer sent flows to the new
  // service at once, another balancer that still has the old configuration
  // would reset them because it finds no owner.
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  Activation.take(tableOf(2, {"archive"}), Record, Now);

  CHECK(sharesNow() == names{"ledger"});
  CHECK(ownerServicesNow() == names{"ledger", "archive"});
  CHECK_FALSE(Activation.advance(Now + SettleTime - 1ms));
  CHECK(Activation.advance(Now + SettleTime));
  CHECK(sharesNow() == names{"archive"});
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a previous service still owns its flows") {
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  Activation.take(tableOf(2, {"archive"}), Record, Now);
  Activation.advance(Now + SettleTime);

  CHECK(ownerServicesNow() == names{"archive", "ledger"});
}

TEST_CASE_FIXTURE(activation_fixture, "a version never goes back") {
  // Balancers receive versions from the store and from peers, in any order.
  Activation.take(tableOf(5, {"ledger"}), Record, Now);

  CHECK_FALSE(Activation.take(tableOf(4, {"archive"}), Record, Now));
  CHECK_FALSE(Activation.take(tableOf(5, {"archive"}), Record, Now));
  CHECK(sharesNow() == names{"ledger"});
  CHECK(Activation.activeVersion() == 5);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "changes in quick succession take effect") {
  // Configurations arrive every 80 ms for seconds. If each restarted the wait,
  // none would take effect before the last one.
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  for (std::uint64_t Version = 2; Version < 22; ++Version)
    Activation.take(tableOf(Version, {"archive"}), Record,
                    Now + 80ms * static_cast<int>(Version));

  REQUIRE(Activation.nextChange());
  CHECK(*Activation.nextChange() <= Now + 160ms + SettleTime);
  CHECK(Activation.advance(*Activation.nextChange()));
  CHECK(Activation.activeVersion() == 21);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "removals and changes of weights take effect at once") {
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  route_table Weighed = tableOf(2, {"ledger"});
  Weighed.Routes[0].Shares[0].Weight = 7;
  Activation.take(Weighed, Record, Now);
  CHECK(Activation.rules(Record).front().Shares.front().Weight == 7);

  route_table Empty;
  Empty.Version = 3;
  Activation.take(Empty, Record, Now);
  CHECK(Activation.rules(Record).empty());
}

TEST_CASE_FIXTURE(activation_fixture,
                  "after a start, services that are not on record wait") {
  Activation.take(tableOf(7, {"ledger", "archive"}), Record, Now);

  CHECK(sharesNow() == names{"ledger"});
  Activation.advance(Now + SettleTime);
  CHECK(sharesNow() == names{"ledger", "archive"});
}

namespace {

/// A random table of a few addresses and services.
route_table drawTable(std::uint64_t Version, std::mt19937 &Random) {
  route_table Table;
  Table.Version = Version;
  const auto Below = [&](unsigned Bound) { return Random() % Bound; };
  for (unsigned Number = 0; Number < 8; ++Number) {
    if (Below(3) == 0)
      continue;
    route Route{{0x0a000001 + Number, 443}, {}};
    for (const char *Service : {"ledger", "archive", "catalogue"})
      if (Below(2) == 0)
        Route.Shares.push_back(share(Service, Below(3)));
    if (Below(2) == 0)
      Route.Level =
          service_level{.Priority = static_cast<std::uint8_t>(Below(2))};
    Table.Routes.push_back(Route);
  }
  return Table;
}

} // namespace

TEST_CASE_FIXTURE(activation_fixture,
                  "changes contains only rules that differ") {
  // One of many routes changes. The receiver of the changes only has to process
  // that route.
  route_table Table = tableOf(1, {"ledger"});
  Table.Routes.push_back({{0x0a000002, 443}, {share("ledger")}});
  Activation.take(Table, Record, Now);
  Activation.advance(Now + SettleTime);
  CHECK(Activation.changes(Record).Changed.size() == 2);
  CHECK(Activation.changes(Record).empty());
  Table.Version = 2;
  Table.Routes[1].Shares = {share("archive")};
  Activation.take(Table, Record, Now);

  const rule_changes Changes = Activation.changes(Record);

  REQUIRE(Changes.Changed.size() == 1);
  CHECK(Changes.Changed[0].Address == Table.Routes[1].Address);
  CHECK(Changes.Changed[0].OwnerServices == names{"ledger", "archive"});
  CHECK(Changes.Removed.empty());
}

TEST_CASE_FIXTURE(activation_fixture, "changes contains removed routes") {
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  Activation.changes(Record);
  route_table Empty;
  Empty.Version = 2;
  Activation.take(Empty, Record, Now);

  const rule_changes Changes = Activation.changes(Record);

  CHECK(Changes.Changed.empty());
  CHECK(Changes.Removed == std::vector<endpoint>{FirstAddress});
}

TEST_CASE_FIXTURE(activation_fixture, "changes add up to all rules") {
  // A receiver that applies all changes in sequence must have the same rules as
  // rules() returns, whatever the order of versions, waits and records.
  std::mt19937 Random(5);
  std::map<endpoint, route_rule> Applied;
  for (std::uint64_t Version = 1; Version < 2000; ++Version) {
    Activation.take(drawTable(Version, Random), Record, Now);
    if (Random() % 3 == 0)
      if (const auto Body = Record.update(drawTable(Version, Random), Now))
        Record.load(*Body);
    Now += std::chrono::milliseconds(Random() % 1500);
    Activation.advance(Now);
    const rule_changes Changes = Activation.changes(Record);
    for (const endpoint &Address : Changes.Removed)
      Applied.erase(Address);
    for (const route_rule &Rule : Changes.Changed)
      Applied[Rule.Address] = Rule;

    std::vector<route_rule> Sum;
    for (const auto &[Address, Rule] : Applied)
      Sum.push_back(Rule);
    REQUIRE(Sum == Activation.rules(Record));
  }
}

static route_table tableWithLevel(std::uint64_t Version,
                                  const std::string &Service,
                                  std::optional<service_level> Level) {
  route_table Table = tableOf(Version, {Service});
  Table.Routes.front().Level = Level;
  return Table;
}

static constexpr service_level Urgent{.Priority = 0};
static constexpr service_level Patient{.Priority = 2, .TimeLimit = 1500ms};

TEST_CASE_FIXTURE(activation_fixture, "a rule has the level of its route") {
  Activation.take(tableWithLevel(1, "ledger", Patient), Record, Now);

  CHECK(Activation.rules(Record).front().Level == Patient);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a change of the level alone takes effect at once") {
  // It adds no service, so no other balancer could look for a flow's owner in
  // the wrong place. A wait would only delay what the operators want.
  Activation.take(tableWithLevel(1, "ledger", Patient), Record, Now);
  Activation.take(tableWithLevel(2, "ledger", Urgent), Record, Now);

  CHECK(Activation.activeVersion() == 2);
  CHECK_FALSE(Activation.nextChange());
  CHECK(Activation.rules(Record).front().Level == Urgent);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "changes contains a rule of which only the level differs") {
  // Otherwise packets would carry the previous level until the route's services
  // change.
  const service_level Levels[] = {
      {},
      {.Priority = 1},
      {.Priority = 1, .Repeatable = true},
      {.Priority = 1, .Repeatable = true, .LatencyAim = 250ms},
      {.Priority = 1,
       .Repeatable = true,
       .LatencyAim = 250ms,
       .TimeLimit = 250ms}};
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  Activation.changes(Record);
  std::uint64_t Version = 1;
  for (const service_level &Level : Levels) {
    Activation.take(tableWithLevel(++Version, "ledger", Level), Record, Now);

    const rule_changes Changes = Activation.changes(Record);

    REQUIRE(Changes.Changed.size() == 1);
    CHECK(Changes.Changed.front().Level == Level);
    CHECK(Activation.changes(Record).empty());
  }
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a level that is removed is gone at once") {
  Activation.take(tableWithLevel(1, "ledger", service_level{}), Record, Now);
  Activation.changes(Record);
  Activation.take(tableOf(2, {"ledger"}), Record, Now);

  const rule_changes Changes = Activation.changes(Record);

  REQUIRE(Changes.Changed.size() == 1);
  CHECK_FALSE(Changes.Changed.front().Level);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "an older configuration does not bring an older level back") {
  // A balancer gets versions from the store and from peers, in any order.
  Activation.take(tableWithLevel(2, "ledger", Urgent), Record, Now);
  Activation.changes(Record);

  CHECK_FALSE(
      Activation.take(tableWithLevel(1, "ledger", Patient), Record, Now));
  CHECK_FALSE(Activation.advance(Now + SettleTime));
  CHECK(Activation.changes(Record).empty());
  CHECK(Activation.rules(Record).front().Level == Urgent);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a level waits together with a service that is added") {
  // The level belongs to the configuration that adds the service; the previous
  // one is in force until then.
  Activation.take(tableWithLevel(1, "ledger", Patient), Record, Now);
  Activation.take(tableWithLevel(2, "archive", Urgent), Record, Now);

  CHECK(Activation.rules(Record).front().Level == Patient);
  CHECK(Activation.advance(Now + SettleTime));
  CHECK(Activation.rules(Record).front().Level == Urgent);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a route that is only upcoming has its upcoming level") {
  // Packets of flows that other balancers have placed can arrive before the
  // route is in effect here.
  route_table Empty;
  Empty.Version = 1;
  Activation.take(Empty, Record, Now);
  Activation.take(tableWithLevel(2, "ledger", Patient), Record, Now);

  CHECK(Activation.activeVersion() == 1);
  CHECK(Activation.rules(Record).front().Level == Patient);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "of two upcoming levels the next to take effect is used") {
  // With the later one, the level would go back to the earlier configuration
  // when that takes effect.
  route_table Empty;
  Empty.Version = 1;
  Activation.take(Empty, Record, Now);
  Activation.take(tableWithLevel(2, "ledger", Patient), Record, Now);
  const instant Later = Now + SettleTime / 2;
  Activation.take(tableWithLevel(3, "archive", Urgent), Record, Later);

  CHECK(Activation.rules(Record).front().Level == Patient);
  Activation.advance(Now + SettleTime);
  CHECK(Activation.rules(Record).front().Level == Patient);
  Activation.advance(Later + SettleTime);
  CHECK(Activation.rules(Record).front().Level == Urgent);
}

static route_table tableIn(std::uint64_t Version,
                           std::vector<std::string> Regions) {
  route_table Table = tableOf(Version, {"ledger"});
  Table.Routes.front().Regions = region_restriction(std::move(Regions));
  return Table;
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a further region gets flows only after SettleTime") {
  // A balancer that does not know the new region yet would look for the owner
  // of a flow in the previous regions only, and reset the flow.
  Activation.take(tableIn(1, {"be"}), Record, Now);
  Activation.take(tableIn(2, {"be", "nl"}), Record, Now);
  const route_rule Waiting = Activation.rules(Record).front();
  CHECK_FALSE(Waiting.Regions.permits("nl"));
  CHECK(Waiting.OwnerRegions.permits("nl"));

  Activation.advance(Now + SettleTime);
  CHECK(Activation.rules(Record).front().Regions.permits("nl"));
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a region that is no longer permitted is left at once") {
  Activation.take(tableIn(1, {"be", "nl"}), Record, Now);
  Activation.changes(Record);
  Activation.take(tableIn(2, {"be"}), Record, Now);

  const rule_changes Changes = Activation.changes(Record);
  REQUIRE(Changes.Changed.size() == 1);
  CHECK_FALSE(Changes.Changed.front().Regions.permits("nl"));
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a service added while another waits has its own wait") {
  // Two configurations follow each other within SettleTime. If the second one's
  // service got flows when the wait of the first is over, a balancer that has
  // not heard of the second one yet would reset them.
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  Activation.take(tableOf(2, {"archive"}), Record, Now);
  const instant Later = Now + SettleTime / 2;
  Activation.take(tableOf(3, {"vault"}), Record, Later);

  CHECK(ownerServicesNow() == names{"ledger", "archive", "vault"});
  CHECK(Activation.advance(Now + SettleTime));
  CHECK(sharesNow() == names{"archive"});
  CHECK(ownerServicesNow() == names{"archive", "vault", "ledger"});
  CHECK_FALSE(Activation.advance(Later + SettleTime - 1ms));
  CHECK(Activation.advance(Later + SettleTime));
  CHECK(sharesNow() == names{"vault"});
}

TEST_CASE_FIXTURE(activation_fixture,
                  "configurations in quick succession take effect") {
  // Each of them adds a service and arrives before the previous one's wait is
  // over.
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  std::uint64_t Version = 1;
  for (int Step = 0; Step < 100; ++Step) {
    Now += SettleTime / 4;
    ++Version;
    Activation.take(tableOf(Version, {"service-" + std::to_string(Version)}),
                    Record, Now);
    Activation.advance(Now);
  }

  CHECK(Activation.activeVersion() > Version - 10);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "each configuration waits for SettleTime, whatever precedes "
                  "or follows it") {
  // A configuration that began its wait when that of another one ended would
  // come into effect up to twice SettleTime after it was known, and callers
  // would be served by the previous one for as long.
  std::mt19937 Random(7);
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  std::map<std::uint64_t, instant> TakenAt;
  for (std::uint64_t Version = 2; Version < 200; ++Version) {
    Activation.take(tableOf(Version, {"service-" + std::to_string(Version)}),
                    Record, Now);
    TakenAt[Version] = Now;
    const instant Next = Now + std::chrono::milliseconds(Random() % 1500);
    for (; Now < Next; Now += 1ms) {
      Activation.advance(Now);
      const auto Waiting = TakenAt.upper_bound(Activation.activeVersion());
      if (Waiting != TakenAt.end())
        REQUIRE(Now < Waiting->second + SettleTime);
    }
  }
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a service that is added again waits anew") {
  // Between the two configurations that have the service, one does not. A
  // balancer that knows only that one would reset the service's flows.
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  Activation.take(tableOf(2, {"archive"}), Record, Now);
  Activation.take(tableOf(3, {"vault"}), Record, Now + 300ms);
  Activation.take(tableOf(4, {"archive"}), Record, Now + 600ms);

  Activation.advance(Now + SettleTime);
  CHECK(Activation.activeVersion() == 2);
  Activation.advance(Now + 300ms + SettleTime);
  CHECK(Activation.activeVersion() == 3);
  CHECK_FALSE(Activation.advance(Now + 600ms + SettleTime - 1ms));
  Activation.advance(Now + 600ms + SettleTime);
  CHECK(Activation.activeVersion() == 4);
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a configuration that adds nothing to those that wait comes "
                  "into effect with the first of them that has its services") {
  Activation.take(tableOf(1, {"ledger"}), Record, Now);
  Activation.take(tableOf(2, {"archive"}), Record, Now);
  Activation.take(tableOf(3, {"archive", "vault"}), Record, Now + 300ms);
  Activation.take(tableOf(4, {"archive"}), Record, Now + 600ms);

  CHECK(Activation.advance(Now + SettleTime));
  CHECK(Activation.activeVersion() == 4);
  CHECK_FALSE(Activation.nextChange());
}

TEST_CASE_FIXTURE(activation_fixture,
                  "a service of the second configuration waits after a start") {
  // The first configuration after the start has a service that is not on record
  // either, so that a wait is under way when the second one arrives.
  Activation.take(tableOf(1, {"vault"}), Record, Now);
  const instant Later = Now + SettleTime / 2;
  Activation.take(tableOf(2, {"vault", "archive"}), Record, Later);
  Activation.advance(Now + SettleTime);
  CHECK(sharesNow() == names{"vault"});

  Activation.advance(Later + SettleTime);
  CHECK(sharesNow() == names{"vault", "archive"});
}

namespace {

/// Activations that wait for the record, too.
struct recorded_activation_fixture {
  static constexpr duration MaxRecordWait = 800ms;

  instant Now{1s};
  route_record Record{60s};
  route_activation Activation{MaxRecordWait};

  recorded_activation_fixture() {
    recordServices(R"(["ledger"])");
    Activation.take(tableOf(1, {"ledger"}), Record, Now);
  }

  void recordServices(const std::string &Names) {
    Record.load(R"({"10.0.0.1:443": )" + Names + "}");
    Activation.noteRecord(Record);
  }
};

} // namespace

TEST_CASE_FIXTURE(recorded_activation_fixture,
                  "a new service gets flows only once it is on record") {
  // Guards against flows whose service a balancer that starts cannot know.
  Activation.take(tableOf(2, {"archive"}), Record, Now);
  CHECK_FALSE(Activation.advance(Now + SettleTime + MaxRecordWait - 1ms));
  recordServices(R"(["ledger", "archive"])");

  CHECK(Activation.advance(Now + SettleTime));
  CHECK(Activation.activeVersion() == 2);
}

TEST_CASE_FIXTURE(recorded_activation_fixture,
                  "a service on record waits for SettleTime as well") {
  Activation.take(tableOf(2, {"archive"}), Record, Now);
  recordServices(R"(["ledger", "archive"])");

  CHECK(Activation.nextChange() == Now + SettleTime);
  CHECK_FALSE(Activation.advance(Now + SettleTime - 1ms));
}

TEST_CASE_FIXTURE(recorded_activation_fixture,
                  "a table whose services are on record does not wait for an "
                  "older one") {
  Activation.take(tableOf(2, {"archive"}), Record, Now);
  Activation.take(tableOf(3, {"lookup"}), Record, Now + 100ms);
  recordServices(R"(["ledger", "lookup"])");

  CHECK(Activation.nextChange() == Now + 100ms + SettleTime);
  CHECK(Activation.advance(Now + 100ms + SettleTime));
  CHECK(Activation.activeVersion() == 3);
  CHECK_FALSE(Activation.nextChange());
}

TEST_CASE_FIXTURE(recorded_activation_fixture,
                  "the wait for the record ends after a limited time") {
  Activation.take(tableOf(2, {"archive"}), Record, Now);

  CHECK(Activation.nextChange() == Now + SettleTime + MaxRecordWait);
  CHECK(Activation.advance(Now + SettleTime + MaxRecordWait));
  CHECK(Activation.activeVersion() == 2);
}

TEST_CASE("a service that is missing when a process starts gets flows only "
          "once it is on record") {
  // Guards against flows of the last configuration before all processes ended,
  // whose service a balancer that starts later cannot know.
  recorded_activation_fixture Fixture;
  route_activation Activation{Fixture.MaxRecordWait};
  Activation.take(tableOf(2, {"archive"}), Fixture.Record, Fixture.Now);
  CHECK_FALSE(Activation.advance(Fixture.Now + SettleTime +
                                 Fixture.MaxRecordWait - 1ms));
  Fixture.recordServices(R"(["ledger", "archive"])");
  Activation.noteRecord(Fixture.Record);

  CHECK(Activation.nextChange() == Fixture.Now + SettleTime);
  CHECK(Activation.advance(Fixture.Now + SettleTime));
}

TEST_CASE("a site without a record serves after SettleTime") {
  // Its first start: the balancers that write the record may be the last ones.
  const route_record Record{60s};
  route_activation Activation{800ms};
  Activation.take(tableOf(1, {"ledger"}), Record, instant{1s});

  CHECK(Activation.nextChange() == instant{1s} + SettleTime);
  CHECK(Activation.advance(instant{1s} + SettleTime));
}
