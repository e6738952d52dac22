#include "marjoramrail/directory.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace std::chrono_literals;

static target_report report(const std::string &Id, std::int64_t Born,
                            std::uint64_t Sequence, bool Draining = false) {
  target_report Report;
  Report.Id = Id;
  Report.Service = "ledger";
  Report.Born = Born;
  Report.Sequence = Sequence;
  Report.Draining = Draining;
  return Report;
}

TEST_CASE("a target gets new flows once it has said that it is ready") {
  target_reports Reports("ledger");

  CHECK_FALSE(Reports.acceptsNewFlows());
  CHECK(Reports.take(report("a", 100, 1), instant()) ==
        report_verdict::Accepted);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE("a draining target gets none, whatever comes late") {
  // A report that a partition held up arrives after the target has said that it
  // drains. Taken at its word it would start new flows to a leaving target.
  target_reports Reports("ledger");
  Reports.take(report("a", 100, 4), instant());
  Reports.take(report("a", 100, 6, /*Draining=*/true), instant());

  CHECK(Reports.take(report("a", 100, 5), instant()) == report_verdict::Stale);
  CHECK(Reports.take(report("a", 100, 6), instant()) == report_verdict::Stale);
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a late word of an earlier run does not stop the next one") {
  target_reports Reports("ledger");
  Reports.take(report("a", 100, 9), instant());
  Reports.take(report("b", 200, 1), instant());

  CHECK(Reports.take(report("a", 100, 10, true), instant()) ==
        report_verdict::Stale);
  CHECK(Reports.leave("a", instant()) == report_verdict::Stale);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE("a run that starts again under its name begins anew") {
  target_reports Reports("ledger");
  Reports.take(report("a", 100, 9, true), instant());

  CHECK(Reports.take(report("a", 200, 1), instant()) ==
        report_verdict::Accepted);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE("a target of another service is not this agent's") {
  target_reports Reports("archive");

  CHECK(Reports.take(report("a", 100, 1), instant()) ==
        report_verdict::WrongService);
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("what the store says counts until the target speaks") {
  target_reports Reports("ledger");
  Reports.restore(/*Draining=*/false, 4, instant());
  CHECK(Reports.acceptsNewFlows());

  CHECK(Reports.take(report("a", 100, 0, true), instant()) ==
        report_verdict::Accepted);
  Reports.restore(false, 4, instant());
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a restarted agent gives a draining target nothing") {
  target_reports Reports("ledger");
  Reports.restore(/*Draining=*/true, 4, instant());

  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a warm-up ends by itself") {
  target_reports Reports("ledger");
  target_report Report = report("a", 100, 1);
  Report.WarmupLeft = 2s;
  Reports.take(Report, instant(10s));

  CHECK(Reports.warmupLeft(instant(11s)) == 1s);
  CHECK(Reports.warmupLeft(instant(13s)) == duration::zero());
}
