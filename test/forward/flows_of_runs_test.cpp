// Which run of its target an agent saves flows for, when reports of an earlier
// run arrive late.

#include "flowstore/flow_zone.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

constexpr duration Period = 1200ms;
/// The reports of the present run are known as such after this time, and the
/// checkpoint has been written.
constexpr duration TimeUntilSaved = 6 * Period;

/// One run of a target's process.
struct reporting_run {
  target_run Run;
  std::uint64_t Sequence = 0;

  target_report next() {
    target_report Report;
    Report.Id = Run.Id;
    Report.Service = "ledger";
    Report.Born = Run.Born;
    Report.Sequence = ++Sequence;
    return Report;
  }
};

/// An agent's process with its target's reports, and the collector that saves
/// the flows.
struct target_runs : checkpoint_fixture {
  reporting_run First{FirstRun};
  reporting_run Second{SecondRun};
  target_reports Reports{"ledger", Period, Timers.now()};
  reporter_process *Agent = &startAgent(Web);

  /// Handles a report in the same way as the agent's process.
  void take(const target_report &Report) {
    Reports.take(Report, Timers.now());
    Agent->Reporter.onRun({Reports.last().Id, Reports.last().Born},
                          Reports.onlyRunAsOf());
  }

  void reportFor(reporting_run &Run, duration Time) {
    for (const instant End = Timers.now() + Time; Timers.now() < End;) {
      take(Run.next());
      advanceTime(Period);
    }
  }

  open_flow open(std::uint16_t Port) {
    const open_flow Open{{{0x64400001, Port}, FirstAddress}, 7};
    Agent->open(Open, Timers.now());
    return Open;
  }

  /// Planned work: the agent's process is replaced, and the target runs on.
  void restartAgent() {
    Agent = &startAgent(Web);
    Reports = target_reports("ledger", Period, Timers.now());
    Reports.restore(/*Draining=*/false, 4, Timers.now());
  }
};

using flows = std::vector<open_flow>;

} // namespace

TEST_CASE_FIXTURE(target_runs,
                  "flows of a run that has just started survive a restart of "
                  "the agent although a report of the run before was late") {
  // Guards against flows that are saved as those of a run that is over, and are
  // reset as soon as the run that holds them is known to be the present one.
  reportFor(First, TimeUntilSaved);
  const open_flow Ended = open(1001);
  reportFor(First, 3 * Period);
  const target_report Late = First.next();
  SUBCASE("after the first report of the present run") {
    take(Second.next());
    open(1002);
    advanceTime(Period / 2);
    take(Late);
  }
  SUBCASE("before the first report of the present run") {
    open(1002);
    advanceTime(Period / 2);
    take(Late);
    advanceTime(Period / 2);
    take(Second.next());
  }
  SUBCASE("after several reports of the present run were lost") {
    take(Second.next());
    open(1002);
    advanceTime(2 * Period);
    take(Late);
  }
  SUBCASE("after the target's process was found stopped") {
    Reports.onTargetStopped();
    open(1002);
    advanceTime(Period / 2);
    take(Late);
    advanceTime(Period / 2);
  }
  advanceTime(1500ms);
  restartAgent();
  advanceTime(300ms);
  reportFor(Second, TimeUntilSaved);

  CHECK(Reports.last().Id == Second.Run.Id);
  CHECK(Agent->Lost == flows{Ended});
}

TEST_CASE_FIXTURE(target_runs,
                  "flows survive two restarts of the agent although a late "
                  "report was the first after one of them") {
  // Guards against flows that an agent which knows nothing of the runs before
  // saves as those of the first run that it hears of.
  take(First.next());
  open(1002);
  advanceTime(2s);
  restartAgent();
  reportFor(Second, TimeUntilSaved);

  CHECK(Agent->Lost == flows());
}

TEST_CASE_FIXTURE(target_runs,
                  "flows of the present run are saved again after a late "
                  "report of an earlier one") {
  // Guards against callers that get no reset after a loss of power because one
  // late report has ended the saving of flows.
  reportFor(Second, TimeUntilSaved);
  const open_flow Before = open(1001);
  reportFor(Second, 2 * Period);
  take(First.next());
  const open_flow After = open(1002);
  reportFor(Second, TimeUntilSaved);

  CHECK(checkpointOf(Web) == flow_checkpoint{SecondRun, {Before, After}});
}
