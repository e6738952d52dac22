#include "directory/route_gate.h"
#include "directory/site_store.h"

#include <doctest/doctest.h>

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
