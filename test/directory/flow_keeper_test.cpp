#include "directory/site_store.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

const object_key KeptKey{"kept", "one"};

/// One process of an agent.
struct keeper_process {
  keeper_process(timer_service &Timers, fake_platform &Store,
                 std::vector<open_flow> Open)
      : Open(std::move(Open)),
        Keeper(Timers, siteStore(Store, Faults, KeptKey.Kind),
               {.Key = KeptKey, .Period = 3s}, hooks()) {
    Keeper.start();
  }

  flow_keeper::hooks hooks() {
    flow_keeper::hooks Hooks;
    Hooks.OpenFlows = [this] { return Open; };
    Hooks.OnLost = [this](const std::vector<open_flow> &Flows) {
      Lost.insert(Lost.end(), Flows.begin(), Flows.end());
    };
    Hooks.OnTrouble = [](const std::string &) {};
    return Hooks;
  }

  store_faults Faults;
  std::vector<open_flow> Open;
  std::vector<open_flow> Lost;
  flow_keeper Keeper;
};

struct keeper_fixture {
  timer_service Timers;
  fake_platform Store{Timers};
  std::vector<open_flow> Two{{{{0x64400001, 1001}, FirstAddress}, 7},
                             {{{0x64400002, 1002}, FirstAddress}, 8}};

  void pass(duration Time) { Timers.advance(Timers.now() + Time); }

  /// A process that has kept its target's flows, and is gone.
  void keepAndDie(std::int64_t Born) {
    keeper_process Process(Timers, Store, Two);
    Process.Keeper.onRun({"run-1", Born});
    pass(10s);
  }
};

} // namespace

TEST_CASE_FIXTURE(keeper_fixture, "callers of flows lost with a VM are told") {
  // A VM loses power and comes back: neither its agent nor its target knows of
  // their flows any more. A caller that sends an amendment into such a flow
  // cannot repeat it, because nobody can say that it has not run.
  keepAndDie(100);
  keeper_process Process(Timers, Store, {});
  pass(100ms);
  CHECK(Process.Lost.empty());
  Process.Keeper.onRun({"run-2", 200});

  CHECK(Process.Lost == Two);
}

TEST_CASE_FIXTURE(keeper_fixture, "a run is told before the store answers") {
  // The target reports while the store is still out of reach.
  keepAndDie(100);
  Store.Down = true;
  keeper_process Process(Timers, Store, {});
  Process.Keeper.onRun({"run-2", 200});
  pass(2s);
  CHECK(Process.Lost.empty());
  Store.Down = false;
  pass(2s);

  CHECK(Process.Lost == Two);
}

TEST_CASE_FIXTURE(keeper_fixture, "flows of a target that lives are left") {
  // Only the agent was restarted. Its target holds the flows as before, and a
  // reset would break every one of them.
  keepAndDie(100);
  keeper_process Process(Timers, Store, {});
  pass(100ms);
  Process.Keeper.onRun({"run-1", 100});
  pass(10s);

  CHECK(Process.Lost.empty());
}

TEST_CASE_FIXTURE(keeper_fixture, "a late word of an earlier run resets none") {
  // A report that was held up arrives after a restart of the agent.
  keepAndDie(100);
  keeper_process Process(Timers, Store, {});
  pass(100ms);
  Process.Keeper.onRun({"run-0", 50});

  CHECK(Process.Lost.empty());
}

TEST_CASE_FIXTURE(keeper_fixture, "callers are told once") {
  keepAndDie(100);
  keeper_process Process(Timers, Store, {});
  pass(100ms);
  Process.Keeper.onRun({"run-2", 200});
  Process.Keeper.onRun({"run-2", 200});
  Process.Keeper.onRun({"run-3", 300});

  CHECK(Process.Lost.size() == Two.size());
}

TEST_CASE_FIXTURE(keeper_fixture, "what is kept already is not written again") {
  // Long flows stay for minutes; each write is a call to a store whose rate
  // grows more slowly than the fleet.
  keeper_process Process(Timers, Store, Two);
  Process.Keeper.onRun({"run-1", 100});
  pass(4s);
  const auto Writes = Store.Writes;
  CHECK(Writes == 1);
  pass(30s);
  CHECK(Store.Writes == Writes);

  // Flows that have ended need no word; one that has come does.
  Process.Open.pop_back();
  pass(10s);
  CHECK(Store.Writes == Writes);
  Process.Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
  pass(4s);
  CHECK(Store.Writes == Writes + 1);
}

TEST_CASE_FIXTURE(keeper_fixture, "a flow that has moved on is written again") {
  // A reset has to be near what the caller acknowledged last; an old number
  // would be ignored.
  keeper_process Process(Timers, Store, Two);
  Process.Keeper.onRun({"run-1", 100});
  pass(4s);
  Process.Open.front().Acknowledged += 60'000;
  pass(4s);

  CHECK(Store.Writes == 2);
}

TEST_CASE_FIXTURE(keeper_fixture, "a lost answer stops nothing") {
  // The write takes effect, its answer is lost: the version that stands is not
  // the one known.
  keeper_process Process(Timers, Store, Two);
  Process.Keeper.onRun({"run-1", 100});
  Store.LoseAnswers = 1;
  pass(4s);
  Process.Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
  pass(8s);
  const auto Kept =
      decodeFlows(KeptKey, Store.get(KeptKey.Kind, KeptKey.Name).Body);

  REQUIRE(Kept);
  CHECK(Kept->Flows == Process.Open);
}

TEST_CASE_FIXTURE(keeper_fixture, "what is kept stays within its budget") {
  // A target holds thousands of flows; a node has a few kilobytes a second for
  // all of its control traffic.
  std::vector<open_flow> Many;
  for (std::uint16_t Port = 1; Port <= 2000; ++Port)
    Many.push_back({{{0x6440ffff, Port}, {0xc612ffff, 65535}}, 0xffffffff});
  keeper_process Process(Timers, Store, Many);
  Process.Keeper.onRun({"run-1", 100});
  pass(4s);
  const std::size_t Bytes = Store.get(KeptKey.Kind, KeptKey.Name).Body.size();

  CHECK(Bytes > 1000);
  CHECK(Bytes <= 2 * 4096);
}

TEST_CASE_FIXTURE(keeper_fixture, "many agents share one budget of writes") {
  // Flows come and go everywhere. A site with many agents must not spend the
  // store's rate on them.
  keeper_process Process(Timers, Store, Two);
  Process.Keeper.onRun({"run-1", 100});
  Process.Keeper.setAgents(100);
  std::uint16_t Port = 2000;
  for (int Second = 0; Second < 100; ++Second) {
    Process.Open.push_back({{{0x64400003, ++Port}, FirstAddress}, 9});
    pass(1s);
  }
  // 100 agents, 5 writes a second: one in 20 seconds each.
  CHECK(Store.Writes >= 4);
  CHECK(Store.Writes <= 6);
}

TEST_CASE_FIXTURE(keeper_fixture,
                  "a large site keeps flows as fresh as a small one" *
                      doctest::should_fail()) {
  // All VMs of a site of 204 targets lose power. A caller that is not told asks
  // for its next amendment in a flow that nobody holds, and that amendment is
  // lost.
  {
    keeper_process Process(Timers, Store, Two);
    Process.Keeper.onRun({"run-1", 100});
    Process.Keeper.setAgents(204);
    pass(4s);
    Process.Open.push_back({{{0x64400003, 1003}, FirstAddress}, 9});
    pass(5s);
  }
  keeper_process Process(Timers, Store, {});
  pass(100ms);
  Process.Keeper.onRun({"run-2", 200});

  CHECK(Process.Lost.size() == 3);
}

TEST_CASE_FIXTURE(keeper_fixture, "a target that leaves leaves nothing") {
  keeper_process Process(Timers, Store, Two);
  Process.Keeper.onRun({"run-1", 100});
  pass(4s);
  int Done = 0;
  Process.Keeper.drop([&] { ++Done; });
  pass(10s);

  CHECK(Done == 1);
  const platform_object Left = Store.get(KeptKey.Kind, KeptKey.Name);
  CHECK((Left.Version == 0 || Left.Deleted));
}

TEST_CASE_FIXTURE(keeper_fixture, "a target that comes back is kept again") {
  // A target says that it leaves, ends, and another run starts on its VM.
  keeper_process Process(Timers, Store, Two);
  Process.Keeper.onRun({"run-1", 100});
  pass(4s);
  Process.Keeper.drop([] {});
  pass(4s);
  Process.Keeper.onRun({"run-2", 200});
  pass(10s);
  const auto Kept =
      decodeFlows(KeptKey, Store.get(KeptKey.Kind, KeptKey.Name).Body);

  REQUIRE(Kept);
  CHECK(Kept->Run == target_run{"run-2", 200});
}

TEST_CASE_FIXTURE(keeper_fixture, "unreadable flows are no flows") {
  for (const char *Body :
       {"", "null", "{}", "[]", R"({"run":1})",
        R"({"run":"a","born":1,"flows":[[1]]})",
        R"({"run":"a","born":1,"flows":[["1.2.3.4:5","x",1]]})"}) {
    CAPTURE(Body);
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_CHECK(decodeFlows(KeptKey, Body));
      return {};
    });
    REQUIRE(Failure);
    CHECK(Failure->Step == step::ValidateObject);
    CHECK(Failure->Peer == KeptKey.Name);
  }
}
