#include "directory/site_store.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ManyRoutes = 4200;
/// The amount of data that a slow link (10 Mbit/s) transfers in 50 ms.
constexpr std::size_t MaxBytes = 64 * 1024;

/// A configuration with \p Count routes on successive addresses, as verbose as
/// a site's own configuration.
std::string bodyOf(std::uint64_t Version, std::size_t Count) {
  nlohmann::json Routes = nlohmann::json::array();
  for (std::size_t I = 0; I < Count; ++I)
    Routes.push_back({{"name", "route-" + std::to_string(I)},
                      {"address", 0x0a000001 + I / 4},
                      {"port", 80 + I % 4},
                      {"service", "ledger"},
                      {"kind_of_requests", "safe"},
                      {"target_milliseconds", 250},
                      {"limit_milliseconds", 1500},
                      {"order", I % 3},
                      {"split", {{{"service", "ledger"}, {"weight", 1}}}},
                      {"remarks", "one of the site's many addresses, " +
                                      std::to_string(I)}});
  return nlohmann::json{{"version", Version}, {"routes", Routes}}.dump();
}

result<route_table> decodeMany(const platform_object &Object) {
  const auto Json = nlohmann::json::parse(Object.Body, nullptr, false);
  if (!Json.is_object())
    return fail(step::ValidateObject, Object.Key.Name, "no object");
  route_table Table;
  Table.Version = Json["version"];
  for (const auto &Item : Json["routes"])
    Table.Routes.push_back({{Item["address"].get<std::uint32_t>(),
                             Item["port"].get<std::uint16_t>()},
                            {{Item["service"], 1}}});
  return Table;
}

/// One balancer with a large configuration that processes changes as its
/// process does.
class many_routes {
public:
  timer_service Timers;
  fake_platform Store{Timers};
  store_faults Faults;
  std::unique_ptr<directory> Directory;
  /// Items processed, by kind of work.
  std::map<callback_kind, std::size_t> ItemsByWork;

  many_routes() {
    Store.put("config", "main", bodyOf(1, ManyRoutes));
    directory_settings Settings;
    Settings.Name = "balancer-1";
    Settings.Zone = "brugge";
    Settings.Self = {0x0a000201, 7000};
    directory_hooks Hooks;
    Hooks.ReadRoutes = [](const platform_object &Object) {
      return readerOf(decodeMany, Object);
    };
    Hooks.Yield = [this](const std::function<void()> &Task) {
      Timers.after(1ms, Task);
    };
    Hooks.OnRules = [](const rule_changes &) {};
    Hooks.OnTargets = [] {};
    Hooks.OnEvacuations = [] {};
    Hooks.OnEvent = [](event_kind, const std::string &) {};
    Hooks.OnRoutesProgress = [](event_kind, const routes_progress &) {};
    Hooks.Send = [](const endpoint &, std::span<const std::uint8_t>) {};
    Hooks.ListFromPeer = [](const endpoint &, const std::string &,
                            const platform_callback &) {};
    Hooks.OnCallback = [this](const callback_timing &Turn) {
      ItemsByWork[Turn.What] += Turn.Items;
    };
    Directory = std::make_unique<directory>(
        Timers,
        directory_platform{siteStore(Store, Faults, Settings.RoutesKind),
                           siteStore(Store, Faults, Settings.SiteKind),
                           siteStore(Store, Faults, Settings.EvacuationsKind)},
        Settings, Hooks);
    Directory->start();
    pass(5s);
    REQUIRE(Directory->routesVersion() == 1);
    REQUIRE(Directory->rules().size() == ManyRoutes);
    ItemsByWork.clear();
  }

  void pass(duration Time) { Timers.advance(Timers.now() + Time); }

  void addTarget(unsigned Number) {
    const std::string Name = "target." + std::to_string(Number);
    const target_entry Target{Name,     "ledger", {0x0a000301 + Number, 700},
                              "brugge", 4,        false};
    Store.put("marjoramrail", Name, encodeTarget(Target));
  }
};

} // namespace

TEST_CASE_FIXTURE(many_routes,
                  "new targets do not cause any work on the routes") {
  // Targets are replaced one after the other, several per second, on a site
  // with thousands of routes. If every target change made balancers process all
  // routes, those with a small share of a core would do nothing else: callers'
  // packets and the next configuration would be delayed.
  for (unsigned Number = 0; Number < 10; ++Number) {
    addTarget(Number);
    pass(500ms);
  }

  CHECK(Directory->targets().size() == 10);
  CHECK(ItemsByWork[callback_kind::BuildRules] == 0);
  CHECK(ItemsByWork[callback_kind::CompareRecord] == 0);
}

TEST_CASE_FIXTURE(many_routes,
                  "many routes are copied between peers in few bytes") {
  // All but two balancers of a zone copy a new configuration from those two. In
  // the site's own format it would saturate a slow link for a second, and
  // longer if several balancers copy at once.
  const auto Copy = Directory->serve("config");

  REQUIRE(Copy);
  CHECK(Copy->size() <= MaxBytes);
}

TEST_CASE_FIXTURE(many_routes, "the record of many routes is small") {
  // Every balancer receives the record of services when a route is added. A
  // record with all addresses spelled out would take as long to transfer as the
  // configuration.
  const platform_object Record = Store.get("marjoramrail", "routes");

  REQUIRE(Record.Version != 0);
  CHECK(Record.Body.size() <= MaxBytes);
}
