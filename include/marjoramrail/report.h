//===- report.h - Results of an experiment ----------------------*- C++ -*-===//
///
/// \file
/// Collects the results of one experiment, attempt by attempt, and writes them
/// as JSON for programs and as an HTML page with charts for people. The
/// functions do no I/O: they return text.
///
/// Usage:
/// \code
///   report_builder Builder("Example deployment, a quarter", Start);
///   Builder.attempt({.Kind = "amendment", .End = attempt_outcome::Ok,
///                    .Sent = Sent, .Ended = Ended});
///   Builder.mark(At, "kill balancer-2");
///   experiment_report Report = Builder.finish();
///   Report.Flows.Broken = 3;
///   Report.Promises.push_back({"no request ran twice", true, "0"});
///   write("report.json", toJson(Report));
///   write("report.html", toHtml(Report));
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_REPORT_H
#define MARJORAMRAIL_REPORT_H

#include "marjoramrail/base.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramrail {

/// The outcome of one attempt as its caller saw it.
enum class attempt_outcome {
  Ok,
  /// The caller was told that the request did not run.
  Refused,
  /// The caller was told that the outcome is unknown, or got no answer.
  Unknown,
  /// The answer was truncated or belonged to another request.
  Wrong,
};

inline constexpr name_table<attempt_outcome, 4> AttemptOutcomeNames = {{
    {attempt_outcome::Ok, "ok"},
    {attempt_outcome::Refused, "refused"},
    {attempt_outcome::Unknown, "unknown"},
    {attempt_outcome::Wrong, "wrong"},
}};

struct report_attempt {
  /// The kind of request, such as "amendment" or "document".
  std::string Kind;
  attempt_outcome End = attempt_outcome::Ok;
  /// Why the attempt was refused, or what is known if its outcome is unknown.
  std::string Reason;
  instant Sent;
  instant Ended;
};

/// Latencies in milliseconds of the answered attempts of one kind.
struct latency_figures {
  std::string Kind;
  std::uint64_t Count = 0;
  double P50 = 0;
  double P90 = 0;
  double P99 = 0;
  double P999 = 0;
  double Max = 0;
};

/// The attempts that ended in one second of the experiment.
struct report_second {
  std::uint64_t Ok = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Wrong = 0;
  /// Latency of the Ok attempts in milliseconds.
  double P50 = 0;
  double P99 = 0;
};

/// An intervention in the experiment, such as a killed host.
struct report_mark {
  /// Time since the start.
  double Second = 0;
  std::string What;
};

struct report_flows {
  std::uint64_t Opened = 0;
  std::uint64_t Moved = 0;
  std::uint64_t Broken = 0;
  /// Broken flows that are permitted because their own host was killed.
  std::uint64_t AllowedBroken = 0;
};

struct host_share {
  std::string Host;
  double Flows = 0;
  /// Time in seconds that requests held slots.
  double Work = 0;
  /// Killed, drained or frozen by the experiment plan, so not counted in the
  /// imbalance.
  bool Excluded = false;
};

struct service_shares {
  std::string Service;
  std::vector<host_share> Hosts;
  /// Highest over mean; 1 is even.
  double FlowImbalance = 1;
  double WorkImbalance = 1;
};

/// A guarantee that the experiment checks, and whether it held.
struct report_promise {
  std::string Name;
  bool Kept = true;
  std::string Figure;
};

struct reason_count {
  attempt_outcome End{};
  std::string Reason;
  std::uint64_t Count = 0;
};

struct experiment_report {
  std::string Title;
  /// Parameters of the experiment as name and value: deployment, scale, seed.
  std::vector<std::pair<std::string, std::string>> Parameters;
  std::vector<report_promise> Promises;
  report_flows Flows;
  std::vector<service_shares> Services;
  std::vector<latency_figures> Latencies;
  /// Most frequent first.
  std::vector<reason_count> Reasons;
  std::vector<report_second> Seconds;
  std::vector<report_mark> Marks;

  std::uint64_t total(attempt_outcome End) const;
  bool kept() const;
};

/// Collects attempts. It stores one number for each answered attempt.
class report_builder {
public:
  report_builder(std::string Title, instant Start);

  void attempt(const report_attempt &Attempt);
  void mark(instant At, std::string What);

  experiment_report finish() const;

private:
  struct second_samples {
    report_second Counts;
    std::vector<double> Latencies;
  };

  std::string Title;
  instant Start;
  std::vector<second_samples> Seconds;
  std::map<std::string, std::vector<double>> ByKind;
  std::map<std::pair<attempt_outcome, std::string>, std::uint64_t> Reasons;
  std::vector<report_mark> Marks;
};

/// Highest over mean of the hosts that are not excluded; 1 if there are none.
double imbalanceOf(const std::vector<host_share> &Hosts,
                   double host_share::*Part);

std::string toJson(const experiment_report &Report);

/// A self-contained page without references to external resources.
std::string toHtml(const experiment_report &Report);

} // namespace marjoramrail

#endif // MARJORAMRAIL_REPORT_H
