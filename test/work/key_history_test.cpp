#include "work/key_history.h"

#include <doctest/doctest.h>

using namespace key_history;
using std::chrono::seconds;

namespace {

std::uint64_t verdicts(history_result &Got, key_verdict Verdict) {
  return Got.Verdicts[Verdict];
}

/// All faults at once, at rates at which violations of the protocol's rules are
/// most likely to show.
history faultyHistory(std::uint64_t Seed) {
  history History;
  History.Seed = Seed;
  History.Faults = {.Loss = 0.05,
                    .Duplicate = 0.05,
                    .Late = 0.02,
                    .Crashes = 0.15,
                    .Pauses = 0.15,
                    .Generations = 0.1};
  return History;
}

void checkSafe(const history &History) {
  const history_result Got = simulate(History);
  INFO("seed ", History.Seed);
  CHECK(Got.RanTwice == 0);
  CHECK(Got.WrongAnswer == 0);
  CHECK(Got.NoVerdict == 0);
  CHECK(Got.Ran > 0);
}

} // namespace

TEST_CASE("without faults every claimed key runs exactly once") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    history History;
    History.Seed = Seed;

    history_result Got = simulate(History);

    CHECK(Got.RanTwice == 0);
    CHECK(Got.NoVerdict == 0);
    CHECK(verdicts(Got, key_verdict::RecordsIncomplete) == 0);
    CHECK(verdicts(Got, key_verdict::NoAnswer) == 0);
    CHECK(Got.Ran >= History.Keys * 8 / 10);
  }
}

TEST_CASE("keys run after several hosts have joined at once") {
  // Two or three new hosts start in the same second. Each waited for the other
  // to confirm records that neither can have, and for ten minutes every key
  // with two such replicas was refused: 19,459 of 71,388 requests at
  // Visexport's full size.
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    history History;
    History.Seed = Seed;
    History.Hosts = 7;
    History.NewHosts = 2 + Seed % 2;

    history_result Got = simulate(History);

    INFO("seed ", Seed);
    CHECK(Got.RanTwice == 0);
    CHECK(Got.NoVerdict == 0);
    CHECK(Got.Ran >= History.Keys * 8 / 10);
    CHECK(Got.Unsettled == 0);
  }
}

TEST_CASE("no key runs twice while hosts join and others crash and pause") {
  // The joining hosts have no records, the hosts that could send theirs crash
  // or pause, and views arrive late.
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    history History;
    History.Seed = Seed;
    History.Hosts = 7;
    History.NewHosts = 1 + Seed % 3;
    History.Faults = {.Loss = 0.05,
                      .Duplicate = 0.05,
                      .Late = 0.05,
                      .Crashes = 0.3,
                      .Pauses = 0.3,
                      .Generations = 0.2};

    checkSafe(History);
  }
}

TEST_CASE("no key runs twice while messages are lost, repeated and late") {
  // An amendment is repeated on another flow because the first answer was lost.
  // If it ran twice, it would void a valid certificate.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    history History;
    History.Seed = Seed;
    History.Faults = {.Loss = 0.1, .Duplicate = 0.1, .Late = 0.05};

    checkSafe(History);
  }
}

TEST_CASE(
    "no key runs twice while agents crash, pause and generations change") {
  // A runner dies after its claim, its replicas restart without records, a
  // paused replica still acts on outdated state, and views arrive at different
  // times.
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    checkSafe(faultyHistory(Seed));
  }
}

TEST_CASE("no key runs twice with seeds that once violated at-most-once") {
  // A restarted replica granted a key with incomplete records while it fetched
  // a record of the same key. When the grant was returned later, the fetched
  // record was removed with it.
  for (const std::uint64_t Seed : {1058, 1160}) {
    checkSafe(faultyHistory(Seed));
  }
}

TEST_CASE("no key runs twice within a lifetime when records expire") {
  // With a short lifetime, replicas that lost all records grant keys again
  // after it.
  std::vector<std::uint64_t> Seeds = {1008, 1013, 1057, 1115, 2669};
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed)
    Seeds.push_back(Seed);
  for (const std::uint64_t Seed : Seeds) {
    history History;
    History.Seed = Seed;
    History.Lifetime = seconds(5);
    History.Faults = {.Loss = 0.05,
                      .Duplicate = 0.05,
                      .Late = 0.02,
                      .Crashes = 0.3,
                      .Pauses = 0.3,
                      .Generations = 0.1};

    checkSafe(History);
  }
}
