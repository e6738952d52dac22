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

TEST_CASE("a target gets new flows after its first report") {
  target_reports Reports("ledger");

  CHECK_FALSE(Reports.acceptsNewFlows());
  CHECK(Reports.take(report("a", 100, 1), instant()) ==
        report_verdict::Accepted);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE("a draining target gets no new flows after a stale report") {
  // A report that was delayed by a network partition arrives after the target
  // has reported that it is draining. If it were accepted, new flows would go
  // to a leaving target.
  target_reports Reports("ledger");
  Reports.take(report("a", 100, 4), instant());
  Reports.take(report("a", 100, 6, /*Draining=*/true), instant());

  CHECK(Reports.take(report("a", 100, 5), instant()) == report_verdict::Stale);
  CHECK(Reports.take(report("a", 100, 6), instant()) == report_verdict::Stale);
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a stale report of an earlier run does not affect the next run") {
  target_reports Reports("ledger");
  Reports.take(report("a", 100, 9), instant());
  Reports.take(report("b", 200, 1), instant());

  CHECK(Reports.take(report("a", 100, 10, true), instant()) ==
        report_verdict::Stale);
  CHECK(Reports.leave("a", instant()) == report_verdict::Stale);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE("a new run with the same id replaces the previous one") {
  target_reports Reports("ledger");
  Reports.take(report("a", 100, 9, true), instant());

  CHECK(Reports.take(report("a", 200, 1), instant()) ==
        report_verdict::Accepted);
  CHECK(Reports.acceptsNewFlows());
}

TEST_CASE("a report for another service is rejected") {
  target_reports Reports("archive");

  CHECK(Reports.take(report("a", 100, 1), instant()) ==
        report_verdict::WrongService);
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("the state from the store is used until the first report") {
  target_reports Reports("ledger");
  Reports.restore(/*Draining=*/false, 4, instant());
  CHECK(Reports.acceptsNewFlows());

  CHECK(Reports.take(report("a", 100, 0, true), instant()) ==
        report_verdict::Accepted);
  Reports.restore(false, 4, instant());
  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a restarted agent sends a draining target no new flows") {
  target_reports Reports("ledger");
  Reports.restore(/*Draining=*/true, 4, instant());

  CHECK_FALSE(Reports.acceptsNewFlows());
}

TEST_CASE("a warm-up ends without a further report") {
  target_reports Reports("ledger");
  target_report Report = report("a", 100, 1);
  Report.WarmupLeft = 2s;
  Reports.take(Report, instant(10s));

  CHECK(Reports.warmupLeft(instant(11s)) == 1s);
  CHECK(Reports.warmupLeft(instant(13s)) == duration::zero());
}
