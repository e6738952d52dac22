#include "directory/route_gate.h"
#include "directory/site_store.h"

#include <doctest/doctest.h>
#include <random>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

struct gate_fixture {
  instant Now{1s};
  route_record Record{60s};
  route_gate Gate;

  gate_fixture() { Record.load(R"({"10.0.0.1:443": ["ledger"]})"); }

  std::vector<std::string> sharesNow() {
    std::vector<std::string> Names;
    for (const route_rule &Rule : Gate.rules(Record))
      for (const service_share &Share : Rule.Shares)
        Names.push_back(Share.Service);
    return Names;
  }

  std::vector<std::string> holdersNow() {
    return Gate.rules(Record).front().Holders;
  }
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(gate_fixture, "what is on record is used at once") {
  Gate.take(tableOf(1, {"ledger"}), Record, Now);

  CHECK(sharesNow() == names{"ledger"});
  CHECK_FALSE(Gate.nextChange());
}

TEST_CASE_FIXTURE(gate_fixture, "a new service waits until all can know it") {
  // A route moves. A balancer that sent flows to the new service at once would
  // see another one, which is still behind, have them reset as nobody's.
  Gate.take(tableOf(1, {"ledger"}), Record, Now);
  Gate.take(tableOf(2, {"archive"}), Record, Now);

  CHECK(sharesNow() == names{"ledger"});
  CHECK(holdersNow() == names{"ledger", "archive"});
  CHECK_FALSE(Gate.advance(Now + SettleTime - 1ms));
  CHECK(Gate.advance(Now + SettleTime));
  CHECK(sharesNow() == names{"archive"});
}

TEST_CASE_FIXTURE(gate_fixture, "a former service still holds its flows") {
  Gate.take(tableOf(1, {"ledger"}), Record, Now);
  Gate.take(tableOf(2, {"archive"}), Record, Now);
  Gate.advance(Now + SettleTime);

  CHECK(holdersNow() == names{"archive", "ledger"});
}

TEST_CASE_FIXTURE(gate_fixture, "a version never goes back") {
  // Balancers hear versions by the store and by peers, in any order.
  Gate.take(tableOf(5, {"ledger"}), Record, Now);

  CHECK_FALSE(Gate.take(tableOf(4, {"archive"}), Record, Now));
  CHECK_FALSE(Gate.take(tableOf(5, {"archive"}), Record, Now));
  CHECK(sharesNow() == names{"ledger"});
  CHECK(Gate.versionInForce() == 5);
}

TEST_CASE_FIXTURE(gate_fixture, "changes in quick succession take effect") {
  // Configurations come every 80 ms for seconds. If each started the wait anew,
  // none would take effect before the last one.
  Gate.take(tableOf(1, {"ledger"}), Record, Now);
  for (std::uint64_t Version = 2; Version < 22; ++Version)
    Gate.take(tableOf(Version, {"archive"}), Record,
              Now + 80ms * static_cast<int>(Version));

  REQUIRE(Gate.nextChange());
  CHECK(*Gate.nextChange() <= Now + 160ms + SettleTime);
  CHECK(Gate.advance(*Gate.nextChange()));
  CHECK(Gate.versionInForce() == 21);
}

TEST_CASE_FIXTURE(gate_fixture, "taking away and weighing need no wait") {
  Gate.take(tableOf(1, {"ledger"}), Record, Now);
  route_table Weighed = tableOf(2, {"ledger"});
  Weighed.Routes[0].Shares[0].Weight = 7;
  Gate.take(Weighed, Record, Now);
  CHECK(Gate.rules(Record).front().Shares.front().Weight == 7);

  route_table Empty;
  Empty.Version = 3;
  Gate.take(Empty, Record, Now);
  CHECK(Gate.rules(Record).empty());
}

TEST_CASE_FIXTURE(gate_fixture, "after a start, what is not on record waits") {
  Gate.take(tableOf(7, {"ledger", "archive"}), Record, Now);

  CHECK(sharesNow() == names{"ledger"});
  Gate.advance(Now + SettleTime);
  CHECK(sharesNow() == names{"ledger", "archive"});
}

namespace {

/// Some routes of a few addresses and services, by chance.
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
    Table.Routes.push_back(Route);
  }
  return Table;
}

} // namespace

TEST_CASE_FIXTURE(gate_fixture, "only rules that differ are told") {
  // One of many routes moves. Whoever takes the rules pays for that one alone.
  route_table Table = tableOf(1, {"ledger"});
  Table.Routes.push_back({{0x0a000002, 443}, {share("ledger")}});
  Gate.take(Table, Record, Now);
  Gate.advance(Now + SettleTime);
  CHECK(Gate.changes(Record).Changed.size() == 2);
  CHECK(Gate.changes(Record).empty());
  Table.Version = 2;
  Table.Routes[1].Shares = {share("archive")};
  Gate.take(Table, Record, Now);

  const rule_changes Changes = Gate.changes(Record);

  REQUIRE(Changes.Changed.size() == 1);
  CHECK(Changes.Changed[0].Address == Table.Routes[1].Address);
  CHECK(Changes.Changed[0].Holders == names{"ledger", "archive"});
  CHECK(Changes.Gone.empty());
}

TEST_CASE_FIXTURE(gate_fixture, "a route that is taken away is told gone") {
  Gate.take(tableOf(1, {"ledger"}), Record, Now);
  Gate.changes(Record);
  route_table Empty;
  Empty.Version = 2;
  Gate.take(Empty, Record, Now);

  const rule_changes Changes = Gate.changes(Record);

  CHECK(Changes.Changed.empty());
  CHECK(Changes.Gone == std::vector<endpoint>{FirstAddress});
}

TEST_CASE_FIXTURE(gate_fixture, "changes add up to all rules") {
  // Whoever applies the changes one after the other has to arrive at what the
  // rules are, whatever the order of versions, waits and records.
  std::mt19937 Random(5);
  std::map<endpoint, route_rule> Applied;
  for (std::uint64_t Version = 1; Version < 2000; ++Version) {
    Gate.take(drawTable(Version, Random), Record, Now);
    if (Random() % 3 == 0)
      if (const auto Body = Record.update(drawTable(Version, Random), Now))
        Record.load(*Body);
    Now += std::chrono::milliseconds(Random() % 1500);
    Gate.advance(Now);
    const rule_changes Changes = Gate.changes(Record);
    for (const endpoint &Address : Changes.Gone)
      Applied.erase(Address);
    for (const route_rule &Rule : Changes.Changed)
      Applied[Rule.Address] = Rule;

    std::vector<route_rule> Sum;
    for (const auto &[Address, Rule] : Applied)
      Sum.push_back(Rule);
    REQUIRE(Sum == Gate.rules(Record));
  }
}
