#include "directory/directory_cluster.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(directory_cluster,
                  "each balancer reports where a configuration came from") {
  // A late configuration cannot be traced without its source and the time since
  // others knew it.
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 5; ++Number)
    start(Number, {addressOf(1)});
  // Long watches that began before balancers knew their peers have ended.
  pass(25s);
  const instant Accepted = Timers.now();
  configure(2, {"archive"});
  pass(3s);

  bool AnyCopied = false;
  for (const auto &[Number, Configurations] : Activated) {
    const routes_progress &Last = Configurations.back();
    CHECK(Last.Version == 2);
    CHECK(Last.FirstKnownAt >= Accepted);
    CHECK(Last.FirstKnownAt < Accepted + 100ms);
    CHECK(Last.ActiveAt == Last.FirstKnownAt + SettleTime);
    AnyCopied |= Last.Source != "the store";
  }
  CHECK(Activated[1].back().Source == "the store");
  CHECK(AnyCopied);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a balancer that starts is not late with what others know") {
  // Otherwise every restart would look like a configuration that took minutes.
  configure(1, {"ledger"});
  start(1);
  start(2, {addressOf(1)});
  pass(10s);
  const instant Started = Timers.now();
  start(3, {addressOf(1)});
  pass(3s);

  CHECK(Activated[3].front().FirstKnownAt >= Started);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a configuration that takes effect at once is reported") {
  configure(1, {"ledger", "archive"});
  start(1);
  pass(10s);
  configure(2, {"ledger"});
  pass(1s);

  REQUIRE(Activated[1].size() == 2);
  CHECK(Activated[1].back().Version == 2);
  CHECK(*Activated[1].back().ActiveAt - Activated[1].back().KnownAt == 0s);
}

TEST_CASE_FIXTURE(directory_cluster,
                  "a configuration that nobody can confirm is logged") {
  // The store stops answering without a word. Without the line a balancer that
  // hears of no change cannot be told from one for which there is none.
  configure(1, {"ledger"});
  for (unsigned Number = 1; Number <= 3; ++Number)
    start(Number, {addressOf(1)});
  pass(25s);
  Events.clear();
  Store.Down = true;
  pass(5s);
  const auto Late = [this](unsigned Number) {
    std::vector<std::string> Reasons;
    for (const auto &[What, Why] : Events[Number])
      if (What == event_kind::RoutesLate)
        Reasons.push_back(Why);
    return Reasons;
  };
  for (unsigned Number = 1; Number <= 3; ++Number) {
    REQUIRE(Late(Number).size() == 1);
    CHECK(Late(Number)[0].starts_with("version 1: not confirmed for "));
    CHECK(at(Number).routesLateFor());
  }
  CHECK(Late(1)[0].ends_with("the store does not answer"));
  CHECK(Late(3)[0].ends_with("left to " + toText(addressOf(1)) +
                             ", which the store refuses"));

  Store.Down = false;
  pass(5s);
  for (unsigned Number = 1; Number <= 3; ++Number) {
    CHECK(Events[Number].back().first == event_kind::RoutesCurrent);
    CHECK_FALSE(at(Number).routesLateFor());
  }
}
