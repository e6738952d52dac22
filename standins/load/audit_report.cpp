#include "audit_report.h"

namespace marjoramrail::standins {

static instant at(std::int64_t Microseconds) {
  return instant(duration(Microseconds));
}

static instant startOf(const audit_input &Input) {
  std::int64_t First = INT64_MAX;
  for (const flow_line &Flow : Input.Flows)
    First = std::min(First, Flow.AtUs);
  for (const attempt_line &Attempt : Input.Attempts)
    First = std::min(First, Attempt.SentUs);
  return at(First == INT64_MAX ? 0 : First);
}

static report_attempt toReport(const attempt_line &Line) {
  report_attempt Attempt;
  Attempt.Kind = Line.Service;
  Attempt.End = valueNamed(AttemptOutcomeNames, Line.Outcome)
                    .value_or(attempt_outcome::Unknown);
  if (Attempt.End != attempt_outcome::Ok)
    Attempt.Reason = Line.Status.empty() ? "no answer" : Line.Status;
  Attempt.Sent = at(Line.SentUs);
  Attempt.Ended = at(Line.EndedUs);
  return Attempt;
}

static report_promise promise(std::string Name, std::uint64_t Broken) {
  return {std::move(Name), Broken == 0, std::to_string(Broken)};
}

static std::vector<report_promise> promisesOf(const audit_result &Result) {
  return {
      promise("flows broken without the death of their host",
              Result.BrokenFlows - Result.AllowedBroken),
      promise("requests that reached another service", Result.Misrouted),
      promise("keys that ran twice", Result.RanTwice),
      promise("requests that ran though the caller was told otherwise",
              Result.RefusedButRan),
      promise("answers not whole or another request's", Result.Wrong),
  };
}

experiment_report reportOf(const std::string &Title, const audit_input &Input,
                           const audit_result &Result) {
  report_builder Builder(Title, startOf(Input));
  for (const attempt_line &Line : Input.Attempts)
    Builder.attempt(toReport(Line));
  for (const fault_line &Fault : Input.Faults)
    Builder.mark(at(Fault.AtUs),
                 Fault.Action + " " + Fault.Subject + Fault.Argument);
  experiment_report Report = Builder.finish();
  Report.Promises = promisesOf(Result);
  Report.Flows.Moved = Result.MovedFlows;
  Report.Flows.Broken = Result.BrokenFlows;
  Report.Flows.AllowedBroken = Result.AllowedBroken;
  for (const flow_line &Flow : Input.Flows)
    Report.Flows.Opened += Flow.Event == "opened" ? 1 : 0;
  for (const auto &[Name, Shares] : Result.Services)
    Report.Services.push_back(Shares);
  return Report;
}

} // namespace marjoramrail::standins
