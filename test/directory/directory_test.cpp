#include "directory/directory_cluster.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> sharesAt(directory &Directory) {
  std::vector<std::string> Names;
  for (const route_rule &Rule : Directory.rules())
    for (const service_share &Share : Rule.Shares)
      Names.push_back(Share.Service);
  return Names;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(directory_cluster, "a balancer learns routes and targets") {
  configure(1, {"ledger"});
  addTarget("one");
  start(1);
  CHECK_FALSE(at(1).ready());
  pass(2s);

  CHECK(at(1).ready());
  CHECK(sharesAt(at(1)) == names{"ledger"});
  CHECK(at(1).targets().size() == 1);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a change reaches a balancer that the store refuses") {
  // The store turns one balancer away and serves the others. Callers whose
  // packets land there would be sent by the old configuration for as long as
  // that lasts.
  configure(1, {"ledger"});
  for (const unsigned Number : {1U, 2U, 3U})
    start(Number);
  pass(3s);
  Balancers.at(3).Faults->Link.Cut = true;
  pass(1s);
  configure(2, {"archive"});
  pass(2500ms);

  CHECK(at(3).routesVersion() == 2);
  CHECK(sharesAt(at(3)) == names{"archive"});
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a balancer that starts without the store asks a peer") {
  configure(1, {"ledger"});
  addTarget("one");
  start(1);
  pass(3s);
  Store.Down = true;
  start(2, {addressOf(1)});
  pass(2s);

  CHECK(at(2).ready());
  CHECK(at(2).targets().size() == 1);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a balancer that knows nothing stays out of rotation") {
  Store.Down = true;
  start(1);
  pass(5s);

  CHECK_FALSE(at(1).ready());
}

TEST_CASE_FIXTURE(directory_cluster,
                  "former services outlive every balancer of ours") {
  // A route moves; later all balancers are replaced, one of them starts while
  // the store is away and hears a peer. Old flows live on at the former service
  // and must still be found there.
  configure(1, {"ledger"});
  start(1);
  pass(3s);
  configure(2, {"archive"});
  pass(3s);
  stop(1);
  start(2);
  pass(3s);
  Store.Down = true;
  start(3, {addressOf(2)});
  pass(2s);

  for (const unsigned Number : {2U, 3U}) {
    REQUIRE(at(Number).rules().size() == 1);
    const names OwnerServices = at(Number).rules().front().OwnerServices;
    CHECK(OwnerServices == names{"archive", "ledger"});
  }
}

TEST_CASE_FIXTURE(directory_cluster,
                  "an own write does not stand for what came before it") {
  // While a balancer's watch hangs a target joins, and the balancer writes an
  // object of its own. A copy of what it knows, taken for whole, would lack the
  // target, and the target's flows would be reset as nobody's.
  configure(1, {"ledger"});
  start(1);
  pass(1ms);
  Balancers.at(1).Faults->WatchesHang = true;
  pass(100ms);
  addTarget("one");
  pass(1s);
  const auto Text = at(1).serve("marjoramrail");
  REQUIRE(Text);
  platform_reply Copy;
  REQUIRE(decodeObjectList(*Text, Copy));

  CHECK(Store.get("marjoramrail", "balancer.balancer-1").Version >
        Store.get("marjoramrail", "target.one").Version);
  CHECK(Copy.StoreVersion < Store.get("marjoramrail", "target.one").Version);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "an invalid configuration changes nothing") {
  configure(1, {"ledger"});
  start(1);
  pass(3s);
  Store.put("config", "main", "not a table");
  pass(3s);

  CHECK(at(1).routesVersion() == 1);
  CHECK(sharesAt(at(1)) == names{"ledger"});
}

TEST_CASE_FIXTURE(directory_cluster, "entries of replaced balancers go") {
  // VMs are replaced every day. Were their entries kept, each balancer would
  // greet thousands that are gone, and reach those that are there too late.
  configure(1, {"ledger"});
  for (const unsigned Number : {1U, 2U, 3U})
    start(Number, {addressOf(1)});
  pass(5s);
  stop(3);
  pass(20s);
  CHECK(Store.get("marjoramrail", "balancer.balancer-3").Version != 0);
  pass(120s);
  CHECK((Store.get("marjoramrail", "balancer.balancer-3").Version == 0 ||
         Store.get("marjoramrail", "balancer.balancer-3").Deleted));
  CHECK_FALSE(Store.get("marjoramrail", "balancer.balancer-2").Deleted);

  start(3, {addressOf(1)});
  pass(5s);
  CHECK_FALSE(Store.get("marjoramrail", "balancer.balancer-3").Deleted);
}

TEST_CASE_FIXTURE(directory_cluster, "a dead VM leaves nothing in the store") {
  // VMs die every day. Their entries would stay for ever, and the store would
  // fill up.
  start(1);
  configure(1, {"ledger"});
  addTarget("one");
  pass(3s);
  at(1).removeTarget({0x0a000301, 700});
  pass(3s);

  const platform_object Left = Store.get("marjoramrail", "target.one");
  CHECK((Left.Version == 0 || Left.Deleted));
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a balancer announces for a refused agent") {
  // The store serves balancers and refuses the agent of a new target.
  start(1);
  configure(1, {"ledger"});
  pass(3s);
  const target_entry Entry{"target.new", "ledger", {0x0a000307, 700},
                           "brugge",     4,        false};
  at(1).input({0x0a000307, 700}, encodeRegistrationRequest(Entry));
  pass(1s);

  REQUIRE(at(1).targets().size() == 1);
  CHECK(at(1).targets().front().Agent == Entry.Agent);
  CHECK(at(1).targets().front().ByPeer);
}

TEST_CASE_FIXTURE(directory_cluster, "an announcement changes no entry") {
  // A datagram that was held up, or comes from another writer, must not undo
  // what an agent has written itself: a leaver would get new flows again.
  start(1);
  configure(1, {"ledger"});
  target_entry Entry{"target.new", "ledger", {0x0a000307, 700},
                     "brugge",     4,        true};
  Store.put("marjoramrail", Entry.Name, encodeTarget(Entry));
  pass(3s);
  target_entry Other = Entry;
  Other.Draining = false;
  at(1).input({0x0a000307, 700}, encodeRegistrationRequest(Other));
  pass(1s);

  REQUIRE(at(1).targets().size() == 1);
  CHECK(at(1).targets().front() == Entry);
}

TEST_CASE_FIXTURE(directory_cluster, "only targets are announced") {
  start(1);
  configure(1, {"ledger"});
  pass(3s);
  const target_entry Entry{"routes", "ledger", {0x0a000307, 700},
                           "brugge", 4,        false};
  const std::string Before = Store.get("marjoramrail", "routes").Body;
  at(1).input({0x0a000307, 700}, encodeRegistrationRequest(Entry));
  pass(1s);

  CHECK(at(1).targets().empty());
  CHECK(Store.get("marjoramrail", "routes").Body == Before);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "who waits its turn compares the record once") {
  // A route is added to thousands. The first in rank writes the record of
  // services; the others only look whether it has. If they build it anew at
  // each look, small VMs do nothing else for a second.
  configure(1, {"ledger"});
  for (const unsigned Number : {1U, 2U, 3U})
    start(Number, {addressOf(1)});
  pass(5s);
  Store.Delay = 60ms;
  Compared.clear();
  configure(2, {"archive"});
  pass(3s);

  CHECK(at(3).routesVersion() == 2);
  CHECK(Compared[2] == 1);
}
