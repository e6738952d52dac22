#include "marjoramrail/report.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace marjoramrail;
using std::chrono::milliseconds;
using std::chrono::seconds;

static const instant Start{seconds(100)};

static report_attempt attempt(attempt_outcome End, duration Sent,
                              duration Latency, std::string Reason = "") {
  return {"amendment", End, std::move(Reason), Start + Sent,
          Start + Sent + Latency};
}

static experiment_report sample() {
  report_builder Builder("a <title>", Start);
  for (int I = 1; I <= 100; ++I)
    Builder.attempt(
        attempt(attempt_outcome::Ok, milliseconds(0), milliseconds(I)));
  Builder.attempt(attempt(attempt_outcome::Refused, seconds(2), milliseconds(1),
                          "503 & retry-after"));
  Builder.attempt(
      attempt(attempt_outcome::Unknown, seconds(2), milliseconds(1), "502"));
  Builder.mark(Start + milliseconds(1500), "kill balancer-2");
  experiment_report Report = Builder.finish();
  Report.Parameters = {{"seed", "1"}};
  Report.Services = {{"ledger", {{"ledger-1", 10, 2.5, false}}, 1, 1}};
  Report.Promises = {{"nothing ran twice", true, "0"}};
  return Report;
}

TEST_CASE("report_builder counts by the second in which attempts ended") {
  const experiment_report Report = sample();

  REQUIRE(Report.Seconds.size() == 3);
  CHECK(Report.Seconds[0].Ok == 100);
  CHECK(Report.Seconds[1].Ok == 0);
  CHECK(Report.Seconds[2].Refused == 1);
  CHECK(Report.total(attempt_outcome::Unknown) == 1);
  CHECK(Report.Marks[0].Second == doctest::Approx(1.5));
}

TEST_CASE("latencies are exact quantiles of answered attempts") {
  const experiment_report Report = sample();

  REQUIRE(Report.Latencies.size() == 1);
  CHECK(Report.Latencies[0].Count == 100);
  CHECK(Report.Latencies[0].P50 == doctest::Approx(50));
  CHECK(Report.Latencies[0].P99 == doctest::Approx(99));
  CHECK(Report.Latencies[0].Max == doctest::Approx(100));
}

TEST_CASE("attempts before the start and long after it are clamped") {
  // A caller's clock jumps. A report as long as the jump would take all memory.
  report_builder Builder("jump", Start);
  Builder.attempt(attempt(attempt_outcome::Ok, -seconds(50), seconds(1)));
  Builder.attempt(
      attempt(attempt_outcome::Ok, std::chrono::hours(1000000), seconds(1)));

  const experiment_report Report = Builder.finish();

  CHECK(Report.Seconds.size() <= 24 * 3600);
  CHECK(Report.total(attempt_outcome::Ok) == 2);
}

TEST_CASE("imbalance leaves out excluded hosts") {
  const std::vector<host_share> Hosts = {
      {"a", 10, 0, false}, {"b", 20, 0, false}, {"c", 90, 0, true}};

  CHECK(imbalanceOf(Hosts, &host_share::Flows) == doctest::Approx(20.0 / 15.0));
  CHECK(imbalanceOf({}, &host_share::Flows) == doctest::Approx(1));
}

TEST_CASE("the JSON form holds every part") {
  const auto Json = nlohmann::json::parse(toJson(sample()));

  CHECK(Json["kept"] == true);
  CHECK(Json["requests"]["ok"] == 100);
  CHECK(Json["reasons"].size() == 2);
  CHECK(Json["seconds"].size() == 3);
  CHECK(Json["services"][0]["hosts"][0]["work_seconds"] == 2.5);
  CHECK(Json["marks"][0]["what"] == "kill balancer-2");
}

TEST_CASE("the page is self-contained and escapes markup") {
  const std::string Html = toHtml(sample());

  CHECK(Html.find("a &lt;title&gt;") != std::string::npos);
  CHECK(Html.find("503 &amp; retry-after") != std::string::npos);
  CHECK(Html.find("<polyline") != std::string::npos);
  CHECK(Html.find("http") == std::string::npos);
  CHECK(Html.find("Every promise was kept") != std::string::npos);
}

TEST_CASE("a broken promise is reported at the top of the page") {
  experiment_report Report = sample();
  Report.Promises.push_back({"no flow broke", false, "3"});

  const std::string Html = toHtml(Report);

  CHECK(!Report.kept());
  CHECK(Html.find("A promise broke") < Html.find("<h2>"));
}

TEST_CASE("an experiment without attempts still gives both forms") {
  const experiment_report Report = report_builder("empty", Start).finish();

  CHECK(toHtml(Report).find("</html>") != std::string::npos);
  CHECK(nlohmann::json::accept(toJson(Report)));
}
