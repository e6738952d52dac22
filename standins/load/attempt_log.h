//===- attempt_log.h - Record of attempts of the callers --------*- C++ -*-===//
///
/// \file
/// Writes one JSON line per ended attempt, flow event and fault.
/// marjoram-report compares these lines, which show what the callers received,
/// with the records that the targets write.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_ATTEMPT_LOG_H
#define MARJORAMRAIL_STANDINS_ATTEMPT_LOG_H

#include "caller_flow.h"
#include "load_settings.h"

#include <fstream>

namespace marjoramrail::standins {

/// What happened to a flow. OpenAtEnd: the flow was still usable when the
/// experiment ended.
enum class flow_event { Opened, Failed, Moved, Broken, OpenAtEnd };

inline constexpr name_table<flow_event, 5> FlowEventNames = {{
    {flow_event::Opened, "opened"},
    {flow_event::Failed, "failed"},
    {flow_event::Moved, "moved"},
    {flow_event::Broken, "broken"},
    {flow_event::OpenAtEnd, "living"},
}};

/// Appends JSON lines to one file.
class attempt_log {
public:
  explicit attempt_log(const std::string &Path) : Out(Path) {}

  void attemptEnded(const std::string &Service, const attempt &Attempt,
                    const attempt_end &End, instant Sent, instant Now);
  void flow(const std::string &Service, flow_event Event,
            const std::string &Flow, const std::string &Host,
            const std::string &Reason, instant Now);
  void fault(const planned_fault &Fault, instant Now);
  void flush() { Out.flush(); }

private:
  std::ofstream Out;
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_ATTEMPT_LOG_H
