#include "marjoramrail/report.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace marjoramrail {

/// Bounds the report if a clock jumps; otherwise a report could span a million
/// seconds.
static constexpr std::size_t MaxSeconds = 24 * 3600;

/// The lowest value that is at least as high as \p Share of \p Sorted (nearest
/// rank).
static double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const double Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
  return Sorted[static_cast<std::size_t>(std::max(Rank, 1.0)) - 1];
}

static std::vector<double> sorted(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return Values;
}

report_builder::report_builder(std::string Title, instant Start)
    : Title(std::move(Title)), Start(Start) {}

static void count(report_second &Second, attempt_outcome End) {
  switch (End) {
  case attempt_outcome::Ok:
    ++Second.Ok;
    return;
  case attempt_outcome::Refused:
    ++Second.Refused;
    return;
  case attempt_outcome::Unknown:
    ++Second.Unknown;
    return;
  case attempt_outcome::Wrong:
    ++Second.Wrong;
    return;
  }
}

void report_builder::attempt(const report_attempt &Attempt) {
  const auto Elapsed =
      std::chrono::duration_cast<std::chrono::seconds>(Attempt.Ended - Start);
  const auto Second = std::min(
      MaxSeconds - 1,
      static_cast<std::size_t>(std::max<std::int64_t>(0, Elapsed.count())));
  if (Second >= Seconds.size())
    Seconds.resize(Second + 1);
  count(Seconds[Second].Counts, Attempt.End);
  if (Attempt.End != attempt_outcome::Ok) {
    ++Reasons[{Attempt.End, Attempt.Reason}];
    return;
  }
  const std::chrono::duration<double, std::milli> Latency =
      Attempt.Ended - Attempt.Sent;
  Seconds[Second].Latencies.push_back(Latency.count());
  ByKind[Attempt.Kind].push_back(Latency.count());
}

void report_builder::mark(instant At, std::string What) {
  const std::chrono::duration<double> Second = At - Start;
  Marks.push_back({Second.count(), std::move(What)});
}

static latency_figures figuresOf(const std::string &Kind,
                                 const std::vector<double> &Latencies) {
  const std::vector<double> Sorted = sorted(Latencies);
  return {Kind,
          Sorted.size(),
          quantile(Sorted, 0.5),
          quantile(Sorted, 0.9),
          quantile(Sorted, 0.99),
          quantile(Sorted, 0.999),
          Sorted.back()};
}

experiment_report report_builder::finish() const {
  experiment_report Report;
  Report.Title = Title;
  Report.Marks = Marks;
  for (const second_samples &Samples : Seconds) {
    report_second Second = Samples.Counts;
    const std::vector<double> Sorted = sorted(Samples.Latencies);
    Second.P50 = quantile(Sorted, 0.5);
    Second.P99 = quantile(Sorted, 0.99);
    Report.Seconds.push_back(Second);
  }
  for (const auto &[Kind, Latencies] : ByKind)
    Report.Latencies.push_back(figuresOf(Kind, Latencies));
  for (const auto &[Key, Count] : Reasons)
    Report.Reasons.push_back({Key.first, Key.second, Count});
  std::stable_sort(Report.Reasons.begin(), Report.Reasons.end(),
                   [](const reason_count &A, const reason_count &B) {
                     return A.Count > B.Count;
                   });
  return Report;
}

std::uint64_t experiment_report::total(attempt_outcome End) const {
  std::uint64_t Total = 0;
  for (const report_second &Second : Seconds)
    switch (End) {
    case attempt_outcome::Ok:
      Total += Second.Ok;
      break;
    case attempt_outcome::Refused:
      Total += Second.Refused;
      break;
    case attempt_outcome::Unknown:
      Total += Second.Unknown;
      break;
    case attempt_outcome::Wrong:
      Total += Second.Wrong;
      break;
    }
  return Total;
}

bool experiment_report::kept() const {
  return std::all_of(
      Promises.begin(), Promises.end(),
      [](const report_promise &Promise) { return Promise.Kept; });
}

double imbalanceOf(const std::vector<host_share> &Hosts,
                   double host_share::*Part) {
  double Sum = 0;
  double Highest = 0;
  std::size_t Count = 0;
  for (const host_share &Host : Hosts) {
    if (Host.Excluded)
      continue;
    Sum += Host.*Part;
    Highest = std::max(Highest, Host.*Part);
    ++Count;
  }
  return Sum > 0 ? Highest * static_cast<double>(Count) / Sum : 1;
}

} // namespace marjoramrail
