#include "work/key_history.h"

#include <doctest/doctest.h>

using namespace key_history;
using std::chrono::seconds;

namespace {

std::uint64_t verdicts(history_result &Got, key_verdict Verdict) {
  return Got.Verdicts[Verdict];
}

/// Every fault at once, at the rates at which most broken rules show.
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

TEST_CASE("without faults every key that is asked for runs exactly once") {
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

TEST_CASE("keys run although hosts have joined together") {
  // Two or three new hosts start in the same second. Each waited for the other
  // to vouch for records that neither can have, and for ten minutes every key
  // that two of them keep was refused: at Visexport's full size 19,459 of
  // 71,388 requests.
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
  // The hosts that join hold no records, those that could give theirs crash or
  // stand still, and views come late.
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
  // A repeat of an amendment comes on another flow while the first answer is
  // lost. Run twice, it would void a valid certificate.
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    history History;
    History.Seed = Seed;
    History.Faults = {.Loss = 0.1, .Duplicate = 0.1, .Late = 0.05};

    checkSafe(History);
  }
}

TEST_CASE(
    "no key runs twice while agents crash, pause and generations change") {
  // A runner dies after its claim, its keepers restart with nothing, one that
  // was paused still acts on what it knew, and views arrive unevenly.
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    checkSafe(faultyHistory(Seed));
  }
}

TEST_CASE("no key runs twice in the histories that once broke the promise") {
  // A restarted keeper granted a key, unsure, while it fetched a record of the
  // same key: the grant, given back later, took the record with it.
  for (const std::uint64_t Seed : {1058, 1160}) {
    checkSafe(faultyHistory(Seed));
  }
}

TEST_CASE("no key runs twice within a lifetime when records expire") {
  // With a short lifetime, keepers that lost all grant again after it.
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
