#include "sweep.h"

#include "plot.h"
#include "work/scenarios.h"

#include <cstdio>
#include <fstream>
#include <functional>

using namespace load_model;

namespace {

constexpr std::uint64_t Seeds = 3;

using measure = std::function<double(const outcome &)>;
using setting = std::function<void(scenario &, double)>;

/// A sweep over one threshold: its values, the scenario and the two measures.
struct sweep {
  sweep_plot Plot;
  std::vector<double> Values;
  scenario Scenario;
  setting Set;
  measure Left;
  measure Right;
};

duration toDuration(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

double goodput(const outcome &Got) { return Got.Goodput; }
double answered(const outcome &Got) {
  return double(Got.Answered) / double(Got.Offered);
}
double answeredFirst(const outcome &Got) {
  return double(Got.AnsweredFirst) / double(Got.Offered);
}
double p99(const outcome &Got) { return Got.P99Ms; }
double shortP99(const outcome &Got) { return Got.ShortP99Ms; }
double lightP99(const outcome &Got) { return Got.LightP99Ms; }
double lightAnswered(const outcome &Got) { return Got.LightAnswered; }
double imbalance(const outcome &Got) { return Got.Imbalance; }
double refusals(const outcome &Got) { return double(Got.Refusals); }
double relayed(const outcome &Got) { return double(Got.Relayed); }
double lastLimit(const outcome &Got) { return double(Got.LastLimit); }

scenario longUnderLoad() {
  scenario S = longAmongShort();
  S.Load = 0.8;
  return S;
}

scenario busy() {
  scenario S;
  S.Load = 0.9;
  return S;
}

std::vector<sweep> admissionSweeps() {
  return {
      {{"wait_bound",
        "bound of the wait, s",
        "goodput at twice the capacity",
        "p99, ms",
        0.1,
        {}},
       {0.02, 0.05, 0.1, 0.25, 0.5, 0.8},
       saturation(),
       [](scenario &S, double X) { S.Admission.WaitBound = toDuration(X); },
       goodput,
       p99},
      {{"wait_bound_busy",
        "bound of the wait, s",
        "refusals at load 0.9",
        "p99, ms",
        0.1,
        {}},
       {0.02, 0.05, 0.1, 0.25, 0.5, 0.8},
       busy(),
       [](scenario &S, double X) { S.Admission.WaitBound = toDuration(X); },
       refusals,
       p99},
      {{"short_share",
        "share of the slots kept from long work",
        "answered, long among short at load 0.8",
        "p99 of short work, ms",
        0.25,
        {}},
       {0.01, 0.25, 0.5, 0.75},
       longUnderLoad(),
       [](scenario &S, double X) { S.Admission.ShortShare = X; },
       answered,
       shortP99},
      {{"caller_queues",
        "queues that callers share by hash",
        "light callers answered, 3 take 70%",
        "p99 of light callers, ms",
        256,
        {}},
       {1, 4, 16, 64, 256, 1024},
       skewedCallers(),
       [](scenario &S, double X) { S.Admission.CallerQueues = std::size_t(X); },
       lightAnswered,
       lightP99},
      {{"retry_share",
        "retries per first try while half the queue is full",
        "answered at the first try, retry storm",
        "p99, ms",
        0.2,
        {}},
       {0, 0.1, 0.2, 0.5, 1, 4},
       retryStorm(),
       [](scenario &S, double X) { S.Admission.RetryShare = X; },
       answeredFirst,
       p99},
      {{"cold_start",
        "cold start, s",
        "refusals, all hosts replaced",
        "p99, ms",
        10,
        {}},
       {0, 2, 5, 10, 20, 40},
       rollingReplacement(),
       [](scenario &S, double X) { S.Admission.ColdStart = toDuration(X); },
       refusals,
       p99},
      {{"cut_ratio",
        "answer time over that of one alone",
        "limit, 8 declared of 4",
        "p99, ms",
        1.3,
        {}},
       {1.1, 1.2, 1.3, 1.5, 2, 3},
       declaredTooHigh(),
       [](scenario &S, double X) { S.Admission.CutRatio = X; },
       lastLimit,
       p99},
      {{"limit_window",
        "answers in a window",
        "limit at twice the capacity",
        "p99, ms",
        128,
        {}},
       {32, 64, 128, 256, 512, 1024},
       saturation(),
       [](scenario &S, double X) {
         S.Admission.LimitWindow = std::uint32_t(X);
       },
       lastLimit,
       p99},
      {{"max_limit_factor",
        "limit over declared slots",
        "answered, 2 declared of 4",
        "p99, ms",
        2,
        {}},
       {1, 1.5, 2, 3, 4},
       declaredTooLow(),
       [](scenario &S, double X) { S.Admission.MaxLimitFactor = X; },
       answered,
       p99},
  };
}

std::vector<sweep> relaySweeps() {
  return {
      {{"relay_margin",
        "margin",
        "goodput, 3 callers take 70%",
        "requests relayed",
        0.25,
        {}},
       {0, 0.1, 0.25, 0.5, 1},
       skewedCallers(),
       [](scenario &S, double X) { S.Relay.Margin = X; },
       goodput,
       relayed},
      {{"relay_gain",
        "gain, 1/s",
        "work_imbalance, uneven flows",
        "p99, ms",
        1,
        {}},
       {0, 0.05, 0.1, 0.25, 0.5, 1, 2, 4},
       unevenFlows(),
       [](scenario &S, double X) { S.Relay.Gain = X; },
       imbalance,
       p99},
      {{"report_period",
        "period of load reports, s",
        "work_imbalance, uneven flows",
        "p99, ms",
        0.25,
        {}},
       {0.05, 0.1, 0.25, 0.5, 1, 1.9},
       unevenFlows(),
       [](scenario &S, double X) { S.ReportSeconds = X; },
       imbalance,
       p99},
      {{"relay_stale",
        "oldest report used, s",
        "answered, two faults",
        "work_imbalance",
        2,
        {}},
       {0.2, 0.3, 0.5, 1, 2, 4, 8},
       twoFaults(),
       [](scenario &S, double X) { S.Relay.MaxReportAge = toDuration(X); },
       answered,
       imbalance},
      {{"relay_no_return",
        "nothing to a peer that relayed to us for, s",
        "goodput, 3 callers take 70%",
        "requests relayed",
        1,
        {}},
       {0, 0.1, 0.25, 0.5, 1, 2, 5},
       skewedCallers(),
       [](scenario &S, double X) { S.Relay.NoReturnPeriod = toDuration(X); },
       goodput,
       relayed},
  };
}

void run(sweep &Sweep) {
  for (const double Value : Sweep.Values) {
    sweep_point Point{Value, 0, 0};
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      scenario Scenario = Sweep.Scenario;
      Scenario.Seed = Seed;
      Sweep.Set(Scenario, Value);
      const outcome Got = simulate(Scenario);
      Point.Left += Sweep.Left(Got) / double(Seeds);
      Point.Right += Sweep.Right(Got) / double(Seeds);
    }
    Sweep.Plot.Points.push_back(Point);
    std::printf("bench: sweep_%s_at_%g %.4g %.4g\n", Sweep.Plot.Name.c_str(),
                Value, Point.Left, Point.Right);
  }
}

bool write(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  return File.good();
}

} // namespace

bool writeSweeps(const std::string &Folder, const std::string &Only) {
  bool Good = true;
  std::vector<sweep> All = admissionSweeps();
  for (const sweep &Sweep : relaySweeps())
    All.push_back(Sweep);
  for (sweep &Sweep : All) {
    if (Sweep.Plot.Name.find(Only) == std::string::npos)
      continue;
    run(Sweep);
    const std::string Path = Folder + "/" + Sweep.Plot.Name;
    Good = write(Path + ".csv", toCsv(Sweep.Plot)) && Good;
    Good = write(Path + ".svg", toSvg(Sweep.Plot)) && Good;
  }
  return Good;
}
