#include "attempt_log.h"

#include <nlohmann/json.hpp>

namespace marjoramrail::standins {

using nlohmann::json;

static std::int64_t microseconds(instant At) {
  return At.time_since_epoch().count();
}

void attempt_log::attemptEnded(const std::string &Service,
                               const attempt &Attempt, const attempt_end &End,
                               instant Sent, instant Now) {
  const json Line = {
      {"line", "attempt"},
      {"service", Service},
      {"request", Attempt.Request},
      {"key", Attempt.Key},
      {"path", Attempt.Path},
      {"try", Attempt.Try},
      {"outcome", nameOf(AttemptOutcomeNames, End.Outcome)},
      {"status", End.Status},
      {"host", End.Host},
      {"retry_after_us", End.RetryAfter.count()},
      {"sent_us", microseconds(Sent)},
      {"first_us", microseconds(Attempt.First)},
      {"ended_us", microseconds(Now)},
  };
  Out << Line.dump() << '\n';
}

void attempt_log::flow(const std::string &Service, flow_event Event,
                       const std::string &Flow, const std::string &Host,
                       const std::string &Reason, instant Now) {
  const json Line = {
      {"line", "flow"},
      {"service", Service},
      {"event", nameOf(FlowEventNames, Event)},
      {"flow", Flow},
      {"host", Host},
      {"why", Reason},
      {"at_us", microseconds(Now)},
  };
  Out << Line.dump() << '\n';
}

void attempt_log::fault(const planned_fault &Fault, instant Now) {
  const json Line = {
      {"line", "fault"},
      {"action", nameOf(FaultActionNames, Fault.Action)},
      {"who", Fault.Subject},
      {"argument", Fault.Argument},
      {"at_us", microseconds(Now)},
  };
  Out << Line.dump() << '\n';
}

} // namespace marjoramrail::standins
