#include "directory/directory_cluster.h"
#include "directory/sync_message.h"

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

TEST_CASE_FIXTURE(directory_cluster,
                  "a balancer reads routes and targets from the store") {
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
  // The store refuses one balancer and serves the others. Packets that reach
  // this balancer would be routed by the old configuration for as long as that
  // lasts.
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

TEST_CASE_FIXTURE(
    directory_cluster,
    "a balancer that starts without the store copies from a peer") {
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

TEST_CASE_FIXTURE(directory_cluster, "a balancer without data is not ready") {
  Store.Down = true;
  start(1);
  pass(5s);

  CHECK_FALSE(at(1).ready());
}

TEST_CASE_FIXTURE(
    directory_cluster,
    "previous services stay known after all balancers are replaced") {
  // A route moves to another service. Later all balancers are replaced, and one
  // of them starts while the store is down and gets its data from a peer. Old
  // flows are still at the previous service and must be found there.
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
                  "a balancer's own write does not confirm earlier changes") {
  // While a balancer's watch hangs, a target registers and the balancer writes
  // an object of its own, which has a newer version. If the balancer's list
  // counted as complete up to that version, it would lack the target, and the
  // target's flows would be reset.
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

TEST_CASE_FIXTURE(directory_cluster,
                  "entries of replaced balancers are removed") {
  // VMs are replaced every day. If their entries were kept, each balancer would
  // send messages to thousands of addresses that no longer exist, and reach
  // running ones too late.
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

TEST_CASE_FIXTURE(directory_cluster,
                  "the entry of a dead VM is removed from the store") {
  // VMs fail every day. Without removal their entries would fill the store.
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
                  "a balancer registers a target for a refused agent") {
  // The store serves balancers but refuses the agent of a new target.
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

TEST_CASE_FIXTURE(directory_cluster,
                  "a registration request does not change an existing entry") {
  // A delayed datagram, or one from another sender, must not overwrite what an
  // agent has written itself: otherwise a leaving target would get new flows
  // again.
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

TEST_CASE_FIXTURE(directory_cluster,
                  "registration requests are only accepted for targets") {
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
                  "a waiting balancer compares the record only once") {
  // A route is added to thousands of others. The first balancer in rank writes
  // the record of services; the others only check whether it has. If they
  // compared the record at each check, small VMs would be busy with that for a
  // second.
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

namespace {

/// One balancer whose data is kept current by the replies of a peer, so that it
/// has no reason to call the store itself.
struct supplied_balancer {
  timer_service Timers;
  fake_platform Store{Timers};
  /// The calls for marjoramrail's own objects, and all others.
  store_faults Faults;
  store_faults OtherFaults;
  std::unique_ptr<directory> Directory;
  bool PeerAnswers = true;
  /// What the balancer's last message said of the store.
  bool IsServed = true;

  supplied_balancer() {
    Store.put("config", "main", tableBody(1, {"ledger"}));
    directory_settings Settings;
    Settings.Name = "balancer-9";
    Settings.Self = addressOf(9);
    for (unsigned Peer = 1; Peer <= 6; ++Peer)
      Settings.Seeds.push_back(addressOf(Peer));
    directory_hooks Hooks;
    Hooks.ReadRoutes = [](const platform_object &Object) {
      return readerOf(decodeTable, Object);
    };
    Hooks.Yield = [this](const std::function<void()> &Task) {
      Timers.after(1ms, Task);
    };
    Hooks.OnRules = [](const rule_changes &) {};
    Hooks.OnTargets = [] {};
    Hooks.OnEvacuations = [] {};
    Hooks.OnEvent = [](event_kind, const std::string &) {};
    Hooks.OnRoutesProgress = [](event_kind, const routes_progress &) {};
    Hooks.Send = [this](const endpoint &To,
                        std::span<const std::uint8_t> Bytes) {
      onSent(To, Bytes);
    };
    Hooks.ListFromPeer = [](const endpoint &, const std::string &,
                            const platform_callback &) {};
    Directory = std::make_unique<directory>(
        Timers,
        directory_platform{
            siteStore(Store, OtherFaults, Settings.RoutesKind),
            siteStore(Store, Faults, Settings.SiteKind),
            siteStore(Store, OtherFaults, Settings.EvacuationsKind)},
        Settings, Hooks);
    Directory->start();
  }

  void pass(duration Time) { Timers.advance(Timers.now() + Time); }

  void onSent(const endpoint &To, std::span<const std::uint8_t> Bytes) {
    const auto Request = internal::decodeSyncMessage(Bytes);
    if (!Request || Request->IsReply)
      return;
    IsServed = Request->IsServed;
    if (!PeerAnswers)
      return;
    internal::sync_message Reply;
    Reply.Self = To;
    Reply.IsReply = true;
    Reply.RequestedAtUs = Request->RequestedAtUs;
    Reply.Routes = Request->Routes;
    Reply.Site = Request->Site;
    Reply.Routes.AgeUs = Reply.Site.AgeUs = 0;
    Timers.after(2ms, [this, To, Bytes = encodeSyncMessage(Reply)] {
      Directory->input(To, Bytes);
    });
  }
};

} // namespace

TEST_CASE_FIXTURE(supplied_balancer,
                  "a balancer that the store answers again says so") {
  // It was cut off and its last call failed; now it gets its data from peers
  // and has no reason to call. If it went on to say that the store refuses it,
  // the next balancer would take over its tasks while it goes on with them: two
  // collectors would write the zone's flow checkpoint in turns, each undoing
  // the other's version.
  pass(5s);
  REQUIRE(IsServed);
  PeerAnswers = false;
  Faults.Link.Cut = true;
  pass(1700ms);
  REQUIRE_FALSE(IsServed);
  PeerAnswers = true;
  Faults.Link.Cut = false;
  pass(3s);

  CHECK(IsServed);
}

TEST_CASE_FIXTURE(supplied_balancer,
                  "a balancer that the store refuses makes few calls") {
  // Every call is charged for, including refused ones.
  pass(5s);
  PeerAnswers = false;
  Faults.Link.Cut = true;
  pass(1700ms);
  PeerAnswers = true;
  pass(3s);
  Faults.Watches = 0;
  pass(12s);

  CHECK_FALSE(IsServed);
  CHECK(Faults.Watches <= 12);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a balancer that stops hands its tasks over at once") {
  // Balancers are restarted one after the other. If the next one only took over
  // the flow checkpoint and the watches once the previous one has been silent
  // for seconds, flows opened meanwhile would not be kept, and the data of all
  // balancers would become too old.
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 6; ++Number)
    start(Number, {addressOf(1), addressOf(2)});
  addTarget("one");
  pass(10s);
  REQUIRE_FALSE(at(1).supervisedTargets().empty());
  at(1).leave();
  pass(1s);

  CHECK(at(1).supervisedTargets().empty());
  CHECK_FALSE(at(2).supervisedTargets().empty());
  CHECK(at(3).supervisedTargets().empty());
}

TEST_CASE_FIXTURE(directory_cluster,
                  "data stays current while the first balancer stops") {
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 12; ++Number)
    start(Number, {addressOf(1), addressOf(2)});
  pass(10s);
  at(1).leave();
  std::size_t Current = 0;
  std::size_t Checks = 0;
  for (int Round = 0; Round < 40; ++Round) {
    pass(100ms);
    if (Round == 16)
      stop(1);
    for (auto &[Number, Balancer] : Balancers) {
      const auto AsOf = Balancer.Directory->knownAsOf();
      Current += AsOf && Timers.now() - *AsOf < SettleTime - 100ms;
      ++Checks;
    }
  }

  CHECK(static_cast<double>(Current) / static_cast<double>(Checks) > 0.95);
}
