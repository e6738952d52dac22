#include "directory/route_loader.h"

#include <deque>
#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;

namespace {

constexpr std::size_t Parts = 3;

/// A loader of configurations that are read in several steps; "bad" fails in
/// the last one.
struct loader_fixture {
  std::deque<std::function<void()>> Turns;
  std::vector<std::uint64_t> Tables;
  std::vector<std::string> Refused;
  int Begun = 0;
  int Used = 0;
  std::optional<route_loader> Loader;

  loader_fixture() {
    route_loader::hooks Hooks;
    Hooks.Read = [this](const platform_object &Object) {
      ++Begun;
      return reader(Object);
    };
    Hooks.Yield = [this](std::function<void()> Task) {
      Turns.push_back(std::move(Task));
    };
    Hooks.OnTable = [this](const platform_object &Object,
                           const route_table &Table) {
      CHECK(Table.Routes.size() == Parts);
      Tables.push_back(Object.Version);
    };
    Hooks.OnTableReady = [this] { ++Used; };
    Hooks.OnRefused = [this](const std::string &Why) {
      Refused.push_back(Why);
    };
    Loader.emplace(Hooks);
  }

  static route_reader reader(const platform_object &Object) {
    const bool IsBad = Object.Body == "bad";
    return [IsBad](std::size_t, route_table &Table) -> result<bool> {
      if (IsBad && Table.Routes.size() + 1 == Parts)
        return fail(step::ValidateObject, "main", "bad");
      Table.Routes.emplace_back();
      return Table.Routes.size() == Parts;
    };
  }

  void take(std::uint64_t Version, const std::string &Body = "good") {
    platform_object Object;
    Object.Version = Version;
    Object.Body = Body;
    Loader->take(Object);
  }

  void turn() {
    REQUIRE_FALSE(Turns.empty());
    const auto Task = std::move(Turns.front());
    Turns.pop_front();
    Task();
  }

  void finish() {
    while (!Turns.empty())
      turn();
  }
};

using versions = std::vector<std::uint64_t>;

} // namespace

TEST_CASE_FIXTURE(loader_fixture, "only a complete table is passed on") {
  // If half a table took effect, the flows of the routes in its other half
  // would be reset.
  take(1);
  for (std::size_t Part = 1; Part < Parts; ++Part) {
    CHECK(Tables.empty());
    turn();
  }
  turn();
  CHECK(Tables == versions{1});
  CHECK(Used == 0);
  CHECK(Loader->busy());
  turn();

  CHECK(Used == 1);
  CHECK_FALSE(Loader->busy());
}

TEST_CASE_FIXTURE(loader_fixture,
                  "changes in quick succession do not prevent loading") {
  // Configurations arrive faster than one can be read. If each aborted the
  // reading of the previous one, none would ever take effect.
  take(1);
  for (std::uint64_t Version = 2; Version < 40; ++Version) {
    turn();
    take(Version);
  }
  finish();

  REQUIRE(Tables.size() > 2);
  CHECK(Tables.front() == 1);
  CHECK(Tables.back() == 39);
  CHECK(std::is_sorted(Tables.begin(), Tables.end()));
}

TEST_CASE_FIXTURE(loader_fixture,
                  "only the newest waiting configuration is read") {
  take(1);
  take(2);
  take(3);
  finish();

  CHECK(Tables == versions{1, 3});
  CHECK(Begun == 2);
}

TEST_CASE_FIXTURE(loader_fixture, "an older version is ignored") {
  take(5);
  take(4);
  finish();

  CHECK(Tables == versions{5});
}

TEST_CASE_FIXTURE(loader_fixture,
                  "a configuration that fails in its last part is rejected") {
  take(1, "bad");
  finish();

  CHECK(Tables.empty());
  REQUIRE(Refused.size() == 1);
  CHECK(Refused[0].find("bad") != std::string::npos);
  CHECK_FALSE(Loader->busy());
}

TEST_CASE_FIXTURE(loader_fixture,
                  "a valid configuration is read after an invalid one") {
  take(1, "bad");
  take(2);
  finish();

  CHECK(Tables == versions{2});
  CHECK(Refused.size() == 1);
}

TEST_CASE_FIXTURE(loader_fixture, "a loader may be destroyed while it reads") {
  take(1);
  turn();
  Loader.reset();
  finish();

  CHECK(Tables.empty());
}
