#include "directory/site_store.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// {"version": 3, "services": ["ledger"]} is a table of one route.
result<route_table> decodeTable(const platform_object &Object) {
  const auto Json = nlohmann::json::parse(Object.Body, nullptr, false);
  if (!Json.is_object())
    return fail(step::ValidateObject, Object.Key.Name, "no object");
  return tableOf(Json["version"],
                 Json["services"].get<std::vector<std::string>>());
}

std::string tableBody(std::uint64_t Version,
                      const std::vector<std::string> &Services) {
  return nlohmann::json{{"version", Version}, {"services", Services}}.dump();
}

endpoint addressOf(unsigned Number) { return {0x0a000200 + Number, 7000}; }

/// Some balancers' directories, one store, and datagrams that take 2 ms.
class directory_world {
public:
  struct balancer {
    std::unique_ptr<store_faults> Faults = std::make_unique<store_faults>();
    std::unique_ptr<directory> Directory;
    bool Cut = false;
  };

  timer_service Timers;
  fake_platform Store{Timers};
  std::map<unsigned, balancer> Balancers;
  /// Whole kinds copied from peers.
  int Copies = 0;
  /// How often each balancer compared the record of services.
  std::map<unsigned, int> Compared;

  void start(unsigned Number, const std::vector<endpoint> &Seeds = {},
             const std::string &Zone = "brugge") {
    balancer &Self = Balancers[Number];
    directory_settings Settings;
    Settings.Name = "balancer-" + std::to_string(Number);
    Settings.Zone = Zone;
    Settings.Self = addressOf(Number);
    Settings.Seeds = Seeds;
    directory_hooks Hooks;
    Hooks.ReadRoutes = [](const platform_object &Object) {
      return readerOf(decodeTable, Object);
    };
    Hooks.Yield = [this](const std::function<void()> &Task) {
      Timers.after(1ms, Task);
    };
    Hooks.OnRules = [](const rule_changes &) {};
    Hooks.OnTargets = [] {};
    Hooks.OnTurn = [this, Number](const turn_done &Turn) {
      Compared[Number] += Turn.What == turn_kind::CompareRecord;
    };
    Hooks.OnEvent = [](event_kind, const std::string &) {};
    Hooks.Send = [this, Number](const endpoint &To,
                                std::span<const std::uint8_t> Bytes) {
      send(Number, To, {Bytes.begin(), Bytes.end()});
    };
    Hooks.ListFromPeer = [this](const endpoint &Peer, const std::string &Kind,
                                const platform_callback &Done) {
      list(Peer, Kind, Done);
    };
    Self.Directory = std::make_unique<directory>(
        Timers,
        directory_platform{siteStore(Store, *Self.Faults, Settings.RoutesKind),
                           siteStore(Store, *Self.Faults, Settings.SiteKind)},
        Settings, Hooks);
    Self.Directory->start();
  }

  /// Calls under way still pass by the balancer's faults.
  void stop(unsigned Number) {
    Former.push_back(std::move(Balancers.at(Number).Faults));
    Balancers.erase(Number);
  }

  directory &at(unsigned Number) { return *Balancers.at(Number).Directory; }

  void pass(duration Time) { Timers.advance(Timers.now() + Time); }

  void configure(std::uint64_t Version,
                 const std::vector<std::string> &Services) {
    Store.put("config", "main", tableBody(Version, Services));
  }

  void addTarget(const std::string &Name) {
    const target_entry Target{Name,     "ledger", {0x0a000301, 700},
                              "brugge", 4,        false};
    Store.put("marjoramrail", "target." + Name, encodeTarget(Target));
  }

private:
  std::vector<std::unique_ptr<store_faults>> Former;

  unsigned numberOf(const endpoint &Address) {
    return Address.Address - addressOf(0).Address;
  }

  void send(unsigned From, const endpoint &To,
            std::vector<std::uint8_t> Bytes) {
    Timers.after(2ms, [this, From, To, Bytes = std::move(Bytes)] {
      const auto Peer = Balancers.find(numberOf(To));
      const auto Sender = Balancers.find(From);
      if (Peer == Balancers.end() || Peer->second.Cut ||
          Sender == Balancers.end() || Sender->second.Cut)
        return;
      Peer->second.Directory->input(addressOf(From), Bytes);
    });
  }

  void list(const endpoint &Peer, const std::string &Kind,
            const platform_callback &Done) {
    ++Copies;
    Timers.after(5ms, [this, Peer, Kind, Done] {
      platform_reply Reply;
      const auto Found = Balancers.find(numberOf(Peer));
      if (Found != Balancers.end())
        if (const auto Text = Found->second.Directory->serve(Kind))
          if (decodeObjectList(*Text, Reply))
            Reply.Outcome = platform_outcome::Ok;
      Done(Reply);
    });
  }
};

std::vector<std::string> sharesAt(directory &Directory) {
  std::vector<std::string> Names;
  for (const route_rule &Rule : Directory.rules())
    for (const service_share &Share : Rule.Shares)
      Names.push_back(Share.Service);
  return Names;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE_FIXTURE(directory_world, "a balancer learns routes and targets") {
  configure(1, {"ledger"});
  addTarget("one");
  start(1);
  CHECK_FALSE(at(1).ready());
  pass(2s);

  CHECK(at(1).ready());
  CHECK(sharesAt(at(1)) == names{"ledger"});
  CHECK(at(1).targets().size() == 1);
}

TEST_CASE_FIXTURE(directory_world,
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

TEST_CASE_FIXTURE(directory_world,
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

TEST_CASE_FIXTURE(directory_world,
                  "a balancer that knows nothing stays out of rotation") {
  Store.Down = true;
  start(1);
  pass(5s);

  CHECK_FALSE(at(1).ready());
}

TEST_CASE_FIXTURE(directory_world,
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
    const names Holders = at(Number).rules().front().Holders;
    CHECK(Holders == names{"archive", "ledger"});
  }
}

TEST_CASE_FIXTURE(directory_world,
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

TEST_CASE_FIXTURE(directory_world, "many balancers stay sure with few calls") {
  // At hundreds of balancers each watch of each would be a call; the store's
  // rate is fixed. All must still be able to tell a lost flow within
  // SettleTime.
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 20; ++Number)
    start(Number, {addressOf(1)});
  pass(10s);
  const std::uint64_t Before = Store.Calls;
  std::size_t Sure = 0;
  std::size_t Looks = 0;
  for (int Round = 0; Round < 100; ++Round) {
    pass(100ms);
    for (auto &[Number, Balancer] : Balancers) {
      const auto AsOf = Balancer.Directory->knownAsOf();
      Sure += AsOf && Timers.now() - *AsOf < SettleTime - 100ms;
      ++Looks;
    }
  }

  CHECK(static_cast<double>(Sure) / static_cast<double>(Looks) > 0.95);
  CHECK(Store.Calls - Before < 10 * 12);
}

namespace {

/// Ninety balancers in five zones, as on a site of hundreds of VMs.
struct large_site : directory_world {
  static constexpr unsigned Count = 90;
  static constexpr unsigned Zones = 5;

  void startAll() {
    configure(1, {"ledger"});
    for (unsigned Number = 1; Number <= Count; ++Number)
      start(Number, {addressOf(1), addressOf(2), addressOf(3)},
            "zone-" + std::to_string(Number % Zones));
  }

  /// The share of looks within \p Time at which a balancer was sure of what it
  /// knows.
  double sureFor(duration Time) {
    std::size_t Sure = 0;
    std::size_t Looks = 0;
    const instant End = Timers.now() + Time;
    while (Timers.now() < End) {
      pass(100ms);
      for (auto &[Number, Balancer] : Balancers) {
        const auto AsOf = Balancer.Directory->knownAsOf();
        Sure += AsOf && Timers.now() - *AsOf < SettleTime - 100ms;
        ++Looks;
      }
    }
    return static_cast<double>(Sure) / static_cast<double>(Looks);
  }
};

} // namespace

TEST_CASE_FIXTURE(large_site, "calls do not grow with balancers") {
  // Each balancer that finds its peers' news too old watches by itself. At
  // ninety that was most of what the whole site asked of the store.
  startAll();
  pass(10s);
  const std::uint64_t Before = Store.Calls;
  const double Sure = sureFor(10s);

  CHECK(Sure > 0.95);
  CHECK(Store.Calls - Before < 10 * 12);
}

TEST_CASE_FIXTURE(large_site, "first balancers that are refused are replaced") {
  // The store refuses the very balancers that watch it for all. Were they
  // waited for, every other one would find its knowledge too old and watch by
  // itself.
  startAll();
  pass(10s);
  for (unsigned Number = 1; Number <= 3; ++Number)
    Balancers.at(Number).Faults->Link.Cut = true;
  pass(3s);
  const std::uint64_t Before = Store.Calls;
  const double Sure = sureFor(10s);

  CHECK(Sure > 0.95);
  // As on a calm day, and the tries of those three.
  CHECK(Store.Calls - Before < 10 * 12 + 10 * 6 * 2);
}

TEST_CASE_FIXTURE(large_site, "an outage of the store costs few calls") {
  // Every call is paid for, also one that is refused. The first balancers try
  // on behalf of all, and the others are told when one gets through.
  startAll();
  pass(10s);
  Store.Down = true;
  pass(2s);
  const std::uint64_t Before = Store.Calls;
  pass(10s);
  CHECK(Store.Calls - Before < 10 * Count);

  Store.Down = false;
  addTarget("one");
  pass(2s);
  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 1);
  CHECK(sureFor(1s) > 0.95);
}

TEST_CASE_FIXTURE(large_site, "a site that starts asks little") {
  // All balancers start within 0.3 s, agents announce two hundred targets
  // meanwhile, and nobody has heard a peer yet. Each piece of news answers
  // every watch.
  startAll();
  for (int Target = 0; Target < 200; ++Target) {
    addTarget("number-" + std::to_string(Target));
    pass(10ms);
  }
  pass(3s);

  // Two lists, its own entry, and two calls more each.
  CHECK(Store.Calls < 5 * Count);
  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 200);
}

TEST_CASE_FIXTURE(directory_world, "a new target is soon known to all") {
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 20; ++Number)
    start(Number, {addressOf(1)});
  pass(10s);
  addTarget("one");
  pass(1s);

  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 1);
}

TEST_CASE_FIXTURE(directory_world,
                  "many targets at once reach all by greetings") {
  // A site of two hundred targets starts. Few balancers watch; the others must
  // not copy everything from them again and again.
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 8; ++Number)
    start(Number, {addressOf(1)});
  pass(10s);
  Copies = 0;
  for (int Target = 0; Target < 200; ++Target)
    addTarget("number-" + std::to_string(Target));
  pass(2s);

  for (auto &[Number, Balancer] : Balancers)
    CHECK(Balancer.Directory->targets().size() == 200);
  CHECK(Copies == 0);
}

TEST_CASE_FIXTURE(directory_world, "a site that starts copies nothing") {
  // All balancers start at once; each is about to get the store's own list.
  configure(1, {"ledger"});
  addTarget("one");
  for (unsigned Number = 1; Number <= 8; ++Number)
    start(Number, {addressOf(1)});
  pass(3s);

  CHECK(Copies == 0);
}

TEST_CASE_FIXTURE(directory_world, "an invalid configuration changes nothing") {
  configure(1, {"ledger"});
  start(1);
  pass(3s);
  Store.put("config", "main", "not a table");
  pass(3s);

  CHECK(at(1).routesVersion() == 1);
  CHECK(sharesAt(at(1)) == names{"ledger"});
}

TEST_CASE_FIXTURE(directory_world, "entries of replaced balancers go") {
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

TEST_CASE_FIXTURE(directory_world, "a dead VM leaves nothing in the store") {
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

TEST_CASE_FIXTURE(directory_world, "a balancer announces for a refused agent") {
  // The store serves balancers and refuses the agent of a new target.
  start(1);
  configure(1, {"ledger"});
  pass(3s);
  const target_entry Entry{"target.new", "ledger", {0x0a000307, 700},
                           "brugge",     4,        false};
  at(1).input({0x0a000307, 700}, encodeAnnouncement(Entry));
  pass(1s);

  REQUIRE(at(1).targets().size() == 1);
  CHECK(at(1).targets().front().Agent == Entry.Agent);
  CHECK(at(1).targets().front().ByPeer);
}

TEST_CASE_FIXTURE(directory_world, "an announcement changes no entry") {
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
  at(1).input({0x0a000307, 700}, encodeAnnouncement(Other));
  pass(1s);

  REQUIRE(at(1).targets().size() == 1);
  CHECK(at(1).targets().front() == Entry);
}

TEST_CASE_FIXTURE(directory_world, "only targets are announced") {
  start(1);
  configure(1, {"ledger"});
  pass(3s);
  const target_entry Entry{"routes", "ledger", {0x0a000307, 700},
                           "brugge", 4,        false};
  const std::string Before = Store.get("marjoramrail", "routes").Body;
  at(1).input({0x0a000307, 700}, encodeAnnouncement(Entry));
  pass(1s);

  CHECK(at(1).targets().empty());
  CHECK(Store.get("marjoramrail", "routes").Body == Before);
}

TEST_CASE_FIXTURE(directory_world,
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
