#include "marjoramrail/directory.h"

#include <doctest/doctest.h>
#include <vector>

using namespace marjoramrail;
using namespace std::chrono_literals;

namespace {

constexpr duration Period = 1200ms;
/// A run must be known as the present one by then, if no other run reports.
constexpr duration MaxDelay = 3 * Period;

target_report report(const std::string &Id, std::int64_t Born,
                     std::uint64_t Sequence, bool Draining = false) {
  target_report Report;
  Report.Id = Id;
  Report.Service = "ledger";
  Report.Born = Born;
  Report.Sequence = Sequence;
  Report.Draining = Draining;
  return Report;
}

/// An agent, and the runs of its target's process that report to it.
struct reports_fixture {
  instant Now{10s};
  target_reports Reports{"ledger", Period, instant(10s)};

  report_verdict take(const target_report &Report) {
    return Reports.take(Report, Now);
  }

  /// The run reports \p Count times at the interval of reports; \p Next is its
  /// next report. Returns how many were accepted.
  int reportRegularly(target_report &Next, int Count) {
    int Accepted = 0;
    for (int I = 0; I < Count; ++I) {
      Accepted += take(Next) == report_verdict::Accepted ? 1 : 0;
      ++Next.Sequence;
      Now += Period;
    }
    return Accepted;
  }

  /// How long the run reports until a report is accepted. Later reports have to
  /// be accepted too.
  duration timeUntilPresent(target_report &Next) {
    const instant Start = Now;
    while (take(Next) != report_verdict::Accepted && Now - Start <= 10 * Period)
      advanceToNext(Next);
    const duration Taken = Now - Start;
    advanceToNext(Next);
    CHECK(reportRegularly(Next, 3) == 3);
    return Taken;
  }

  void advanceToNext(target_report &Next) {
    ++Next.Sequence;
    Now += Period;
  }

  /// The agent's process is started again and reads the entry in the store.
  void restartAgent(bool Draining) {
    Reports = target_reports("ledger", Period, Now);
    Reports.restore(Draining, 4, Now);
  }
};

/// The ids and start times of two runs that follow each other.
struct run_pair {
  const char *Name;
  std::string NextId;
  std::int64_t NextBorn;
};
const std::int64_t FirstBorn = 5'000'000;
const std::vector<run_pair> RunPairs = {
    {"another id, a later start", "b", FirstBorn + 8'000},
    {"another id, the clock stepped back", "b", FirstBorn - 2'400},
    {"another id, the same start time", "b", FirstBorn},
    {"the same id, a later start", "a", FirstBorn + 8'000},
    {"the same id, the clock stepped back", "a", FirstBorn - 2'400},
};
const std::vector<duration> Downtimes = {1ms, 500ms, 1199ms, 2500ms, 60s};

} // namespace

TEST_CASE("a target gets new flows after its first report") {
  target_reports Reports("ledger", Period, instant());

  CHECK_FALSE(Reports.acceptsNewFlows());
  CHECK(Reports.take(report("a", 100, 1), instant()) ==
        report_verdict::Accepted);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE("a draining target gets no new flows after a stale report") {
  // A report that was delayed by a network partition arrives after the target
  // has reported that it is draining. If it were accepted, new flows would go
  // to a leaving target.
  target_reports Reports("ledger", Period, instant());
  Reports.take(report("a", 100, 4), instant());
  Reports.take(report("a", 100, 6, /*Draining=*/true), instant());

  CHECK(Reports.take(report("a", 100, 5), instant()) == report_verdict::Stale);
  CHECK(Reports.take(report("a", 100, 6), instant()) == report_verdict::Stale);
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a stale report of an earlier run does not affect the next run") {
  target_reports Reports("ledger", Period, instant());
  Reports.take(report("a", 100, 9), instant());
  REQUIRE(Reports.take(report("b", 200, 1), instant(2s)) ==
          report_verdict::Accepted);

  CHECK(Reports.take(report("a", 100, 10, true), instant(2s)) ==
        report_verdict::OtherRun);
  CHECK(Reports.leave("a", instant(2s)) == report_verdict::OtherRun);
  CHECK(Reports.acceptsNewFlows());
  CHECK(Reports.last().Id == "b");
}

TEST_CASE("a new run with the same id replaces the previous one") {
  target_reports Reports("ledger", Period, instant());
  Reports.take(report("a", 100, 9, true), instant());

  CHECK(Reports.take(report("a", 200, 1), instant(2s)) ==
        report_verdict::Accepted);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE("a report for another service is rejected") {
  target_reports Reports("archive", Period, instant());

  CHECK(Reports.take(report("a", 100, 1), instant()) ==
        report_verdict::WrongService);
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("the state from the store is used until the first report") {
  target_reports Reports("ledger", Period, instant());
  Reports.restore(/*Draining=*/false, 4, instant());
  CHECK(Reports.acceptsNewFlows());

  CHECK(Reports.take(report("a", 100, 0, true), instant()) ==
        report_verdict::Accepted);
  Reports.restore(false, 4, instant());
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a restarted agent sends a draining target no new flows") {
  target_reports Reports("ledger", Period, instant());
  Reports.restore(/*Draining=*/true, 4, instant());

  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a warm-up ends without a further report") {
  target_reports Reports("ledger", Period, instant());
  target_report Report = report("a", 100, 1);
  Report.WarmupLeft = 2s;
  Reports.take(Report, instant(10s));

  CHECK(Reports.warmupLeft(instant(11s)) == 1s);
  CHECK(Reports.warmupLeft(instant(13s)) == duration::zero());
}

//===----------------------------------------------------------------------===//
// The present run is found out
//===----------------------------------------------------------------------===//

TEST_CASE_FIXTURE(reports_fixture,
                  "the next run is known as the present one, whatever its "
                  "start time") {
  // Guards against a target whose reports are all ignored because the clock was
  // stepped back between the starts of its runs.
  for (const run_pair &Pair : RunPairs)
    for (const duration Downtime : Downtimes)
      for (const bool WasDraining : {false, true}) {
        CAPTURE(Pair.Name);
        CAPTURE(Downtime.count());
        CAPTURE(WasDraining);
        Reports = target_reports("ledger", Period, Now);
        target_report First = report("a", FirstBorn, 1, WasDraining);
        reportRegularly(First, 5);
        Now += Downtime - Period;
        target_report Next = report(Pair.NextId, Pair.NextBorn, 1);

        CHECK(timeUntilPresent(Next) <= MaxDelay);
        CHECK(Reports.acceptsNewFlows());
        CHECK(Reports.last().Born == Pair.NextBorn);
        Next.Draining = true;
        CHECK(take(Next) == report_verdict::Accepted);
        CHECK_FALSE(Reports.acceptsNewFlows());
        CHECK(Reports.leave(Pair.NextId, Now) == report_verdict::Accepted);
      }
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a run whose clock went back is known soon after a first run "
                  "that reported once") {
  take(report("a", FirstBorn, 1));
  Now += 900ms;
  target_report Next = report("b", FirstBorn - 1'500, 1);

  CHECK(timeUntilPresent(Next) <= 2 * Period);
  CHECK(Reports.last().Id == "b");
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a run with the id and start time of the previous one is "
                  "known by its sequence numbers") {
  // Guards against a target whose reports are all taken for repeated ones: the
  // clock was stepped back by the time between the two starts.
  target_report First = report("a", FirstBorn, 1);
  reportRegularly(First, 200);
  target_report Next = report("a", FirstBorn, 1);

  CHECK(timeUntilPresent(Next) <= MaxDelay);
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a run is known although delayed reports of earlier runs "
                  "arrive between its reports") {
  target_report First = report("a", FirstBorn, 1);
  reportRegularly(First, 5);
  target_report Next = report("b", FirstBorn - 2'400, 1);
  reportRegularly(Next, 1);
  take(report("a", FirstBorn, 7, true));
  take(report("z", FirstBorn + 9'000, 3));
  Now += 100ms;

  CHECK(timeUntilPresent(Next) <= MaxDelay);
  CHECK(Reports.last().Id == "b");
}

TEST_CASE_FIXTURE(reports_fixture,
                  "the next run is known after the previous one has left") {
  for (const run_pair &Pair : RunPairs) {
    CAPTURE(Pair.Name);
    Reports = target_reports("ledger", Period, Now);
    target_report First = report("a", FirstBorn, 1, /*Draining=*/true);
    reportRegularly(First, 5);
    Reports.leave("a", Now);
    target_report Next = report(Pair.NextId, Pair.NextBorn, 1);

    CHECK(timeUntilPresent(Next) <=
          (Pair.NextBorn > FirstBorn ? duration::zero() : Period));
  }
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a later run is known at once if the target had stopped") {
  take(report("a", 100, 9));
  Reports.onTargetStopped();
  Now += 100ms;

  CHECK(take(report("b", 200, 1)) == report_verdict::Accepted);
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a run that was replaced in error becomes the present one "
                  "again") {
  // The present run misses its reports for a while, and a delayed one of an
  // earlier run with a later start time arrives then.
  target_report Live = report("b", FirstBorn, 1);
  reportRegularly(Live, 5);
  Now += 4 * Period;
  REQUIRE(take(report("a", FirstBorn + 2'400, 9, true)) ==
          report_verdict::Accepted);
  Now += 1ms;

  CHECK(timeUntilPresent(Live) <= MaxDelay);
  CHECK(Reports.acceptsNewFlows());
  CHECK(Reports.last().Id == "b");
}

//===----------------------------------------------------------------------===//
// Delayed messages of earlier runs
//===----------------------------------------------------------------------===//

TEST_CASE_FIXTURE(reports_fixture,
                  "delayed reports of an earlier run do not affect the present "
                  "one, whatever their start time") {
  // Guards against a healthy target that gets no new flows, and a draining one
  // that gets them, because the clock was ahead when an earlier run started.
  for (const run_pair &Pair : RunPairs)
    for (const bool IsKnown : {false, true})
      for (const bool IsDraining : {false, true})
        for (const duration Delay : {1ms, 600ms, 1199ms}) {
          CAPTURE(Pair.Name);
          CAPTURE(IsKnown);
          CAPTURE(IsDraining);
          CAPTURE(Delay.count());
          Reports = target_reports("ledger", Period, Now);
          target_report Earlier = report(Pair.NextId, Pair.NextBorn, 1);
          if (IsKnown)
            reportRegularly(Earlier, 4);
          Earlier.Draining = !IsDraining;
          target_report Live = report("a", FirstBorn, 1, IsDraining);
          timeUntilPresent(Live);
          for (int I = 0; I < 6; ++I) {
            take(Live);
            Now += Delay;
            CHECK(take(Earlier) != report_verdict::Accepted);
            CHECK(Reports.acceptsNewFlows() == !IsDraining);
            CHECK(Reports.last().Born == FirstBorn);
            ++Earlier.Sequence;
            Now += Period - Delay;
            ++Live.Sequence;
          }
        }
}

TEST_CASE_FIXTURE(reports_fixture,
                  "delayed reports that arrive together do not replace a run "
                  "that has missed a report") {
  target_report Live = report("b", FirstBorn, 1, /*Draining=*/true);
  reportRegularly(Live, 5);
  Now += Period;
  for (std::uint64_t Sequence = 4; Sequence < 9; ++Sequence)
    CHECK(take(report("a", FirstBorn - 9'000, Sequence)) ==
          report_verdict::OtherRun);

  CHECK(take(Live) == report_verdict::Accepted);
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a repeated report does not count as another one") {
  target_report First = report("a", FirstBorn, 1);
  reportRegularly(First, 2);
  const target_report Repeated = report("b", FirstBorn - 2'400, 3);
  for (int I = 0; I < 5; ++I) {
    CHECK(take(Repeated) == report_verdict::OtherRun);
    Now += Period;
  }
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a delayed Deregister ends no run with another id") {
  target_report Live = report("b", FirstBorn, 1);
  reportRegularly(Live, 2);

  CHECK(Reports.leave("a", Now) == report_verdict::OtherRun);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE_FIXTURE(reports_fixture,
                  "the next report undoes a delayed Deregister with its id") {
  // A message that a run leaves holds its id only, and an id may be used again.
  target_report Live = report("a", FirstBorn, 1);
  reportRegularly(Live, 2);
  Reports.leave("a", Now);
  Now += 100ms;

  CHECK(take(Live) == report_verdict::Accepted);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE_FIXTURE(reports_fixture,
                  "reports of many runs use a bounded amount of memory") {
  target_report Live = report("live", FirstBorn, 1);
  reportRegularly(Live, 2);
  for (int I = 0; I < 1000; ++I)
    take(report("z" + std::to_string(I), I, 1));

  CHECK(reportRegularly(Live, 3) == 3);
}

//===----------------------------------------------------------------------===//
// Restarts of the agent
//===----------------------------------------------------------------------===//

TEST_CASE_FIXTURE(reports_fixture,
                  "a delayed report starts no new flows to a target that was "
                  "draining before the agent's restart") {
  target_report Live = report("b", FirstBorn, 40, /*Draining=*/true);
  for (const std::int64_t Born : {FirstBorn - 9'000, FirstBorn + 2'400}) {
    CAPTURE(Born);
    restartAgent(/*Draining=*/true);
    CHECK(take(report("a", Born, 7)) == report_verdict::OtherRun);
    Now += 100ms;
    CHECK(take(Live) == report_verdict::Accepted);
    ++Live.Sequence;
    CHECK_FALSE(Reports.acceptsNewFlows());
  }
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a delayed report that arrives before the store's answer "
                  "starts no new flows to a draining target") {
  Reports = target_reports("ledger", Period, Now);
  take(report("a", FirstBorn - 9'000, 7));
  Reports.restore(/*Draining=*/true, 4, Now);
  CHECK_FALSE(Reports.acceptsNewFlows());
  Now += 100ms;

  CHECK(take(report("b", FirstBorn, 40, true)) == report_verdict::Accepted);
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a new run gets flows although the entry in the store says "
                  "that the previous one was draining") {
  restartAgent(/*Draining=*/true);
  target_report Next = report("b", FirstBorn, 1);

  CHECK(timeUntilPresent(Next) <= MaxDelay);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE_FIXTURE(reports_fixture,
                  "the present run is known after a delayed report that was "
                  "the first after the agent's restart") {
  for (const run_pair &Pair : RunPairs) {
    if (Pair.NextId == "a")
      continue;
    CAPTURE(Pair.Name);
    restartAgent(/*Draining=*/false);
    take(report(Pair.NextId, Pair.NextBorn, 7, true));
    Now += 100ms;
    target_report Live = report("a", FirstBorn, 40);

    CHECK(timeUntilPresent(Live) <= MaxDelay);
    CHECK(Reports.acceptsNewFlows());
  }
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a run is confirmed once it goes on and no other run does") {
  restartAgent(/*Draining=*/false);
  target_report Delayed = report("z", FirstBorn + 2'400, 7);
  take(Delayed);
  CHECK_FALSE(Reports.isRunConfirmed());
  Now += 600ms;
  target_report Live = report("a", FirstBorn, 40);
  take(Live);
  Now += 600ms;
  ++Delayed.Sequence;
  take(Delayed);
  CHECK_FALSE(Reports.isRunConfirmed());
  Now += 600ms;
  ++Live.Sequence;
  timeUntilPresent(Live);

  CHECK(Reports.isRunConfirmed());
  CHECK(Reports.last().Id == "a");
}

//===----------------------------------------------------------------------===//
// Whose flows are open
//===----------------------------------------------------------------------===//

TEST_CASE_FIXTURE(reports_fixture,
                  "each report of the only run shows that the open flows are "
                  "its own, once the run is confirmed") {
  target_report Live = report("a", FirstBorn, 1);
  take(Live);
  CHECK_FALSE(Reports.onlyRunAsOf());
  advanceToNext(Live);
  reportRegularly(Live, 3);

  CHECK(Reports.onlyRunAsOf() == Now - Period);
}

TEST_CASE_FIXTURE(reports_fixture,
                  "the last report before another run's shows nothing about "
                  "open flows, nor do those that arrived together with it") {
  // Guards against flows of the next run that are taken for those of the run
  // before because that one's last reports were late.
  target_report Earlier = report("a", FirstBorn, 1);
  reportRegularly(Earlier, 5);
  const instant LastInTime = Now - Period;
  for (int I = 0; I < 3; ++I) {
    take(Earlier);
    ++Earlier.Sequence;
    Now += 10ms;
  }
  take(report("b", FirstBorn + 8'000, 1));

  CHECK(Reports.onlyRunAsOf() == LastInTime);
}

TEST_CASE_FIXTURE(reports_fixture,
                  "a single report shows nothing about open flows after the "
                  "target's process has stopped") {
  target_report Earlier = report("a", FirstBorn, 1);
  reportRegularly(Earlier, 5);
  const instant LastInTime = Now - Period;
  Reports.onTargetStopped();
  take(Earlier);

  CHECK(Reports.onlyRunAsOf() == LastInTime);
}
