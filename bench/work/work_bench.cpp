/// Prints lines `bench: NAME VALUE UNIT` for each scenario, for the naive
/// policy and for marjoramrail's. With --sweep=FOLDER it sweeps the thresholds
/// instead and writes CSV and SVG files.
#include "level_bench.h"
#include "sweep.h"
#include "work/scenarios.h"

#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(sweep, "", "folder for sweep files; replaces the scenario rows");
DEFINE_uint64(seed, 1, "seed of the scenarios");
DEFINE_string(only, "", "name of the only scenario or sweep to run");

using namespace load_model;

namespace {

void row(const std::string &Name, const char *What, double Value,
         const char *Unit) {
  std::printf("bench: %s_%s %.3f %s\n", Name.c_str(), What, Value, Unit);
}

void rowsOf(const std::string &Name, const scenario &Scenario) {
  const outcome Got = simulate(Scenario);
  row(Name, "goodput", Got.Goodput, "of_capacity");
  row(Name, "answered", double(Got.Answered) / double(Got.Offered),
      "of_offered");
  row(Name, "p50", Got.P50Ms, "ms");
  row(Name, "p99", Got.P99Ms, "ms");
  row(Name, "short_p99", Got.ShortP99Ms, "ms");
  row(Name, "light_p99", Got.LightP99Ms, "ms");
  row(Name, "light_answered", Got.LightAnswered, "of_offered");
  row(Name, "refusals", double(Got.Refusals), "requests");
  row(Name, "late_refusals", double(Got.LateRefusals), "requests");
  row(Name, "given_up", double(Got.GivenUp), "requests");
  row(Name, "cut_off", double(Got.CutOff), "requests");
  row(Name, "relayed", double(Got.Relayed), "requests");
  if (Got.Returned > 0)
    row(Name, "kept_retry_after",
        1 - double(Got.ReturnedRefused) / double(Got.Returned), "of_returns");
  row(Name, "limit", double(Got.LastLimit), "slots");
  row(Name, "work_imbalance", Got.Imbalance, "max_over_mean");
}

void compare(const std::string &Name, scenario Scenario) {
  if (!FLAGS_only.empty() && FLAGS_only != Name)
    return;
  Scenario.Seed = FLAGS_seed;
  Scenario.Agent = agent_policy::Ours;
  rowsOf(Name, Scenario);
  Scenario.Agent = agent_policy::Naive;
  rowsOf(Name + "_naive", Scenario);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (!FLAGS_sweep.empty())
    return writeSweeps(FLAGS_sweep, FLAGS_only) ? 0 : 1;
  compare("burst", burst());
  compare("skewed_callers", skewedCallers());
  compare("slow_target", slowTarget());
  compare("long_among_short", longAmongShort());
  compare("saturation", saturation());
  compare("retry_storm", retryStorm());
  compare("uneven_flows", unevenFlows());
  compare("uneven_dispatch", unevenDispatch());
  compare("declared_too_high", declaredTooHigh());
  compare("declared_too_low", declaredTooLow());
  compare("rolling_replacement", rollingReplacement());
  compare("two_faults", twoFaults());
  if (FLAGS_only.empty() || FLAGS_only == "levels")
    benchLevels(FLAGS_seed);
  return 0;
}
