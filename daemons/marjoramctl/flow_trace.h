//===- flow_trace.h - Event filter and trace of one flow --------*- C++ -*-===//
///
/// \file
/// Filters merged timeline events and explains the trace of one flow: who
/// routed it, when and why. Pure functions without input or output.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_FLOW_TRACE_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_FLOW_TRACE_H

#include "marjoramrail/timeline.h"

namespace marjoramrail::ctl {

/// Selects events. An empty field matches all events.
struct event_filter {
  std::string Service;
  std::string Flow;
  std::string Host;

  bool passes(const timeline_event &Event) const;
};

/// Formats an event as one line.
std::string toText(const timeline_event &Event);

/// Returns the trace of \p Flow as lines of text: a summary, its own events,
/// the changes of its service meanwhile (views, generations, targets, leases)
/// and the events of the processes that handled it. Empty if no event names the
/// flow. \p Events must be merged.
std::vector<std::string> explainFlow(const std::vector<timeline_event> &Events,
                                     const std::string &Flow);

/// Returns the flow that carried the request with the id \p Request.
std::optional<std::string>
flowOfRequest(const std::vector<timeline_event> &Events,
              const std::string &Request);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_FLOW_TRACE_H
