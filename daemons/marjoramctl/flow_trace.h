//===- flow_trace.h - Which events matter, and why a flow went --*- C++ -*-===//
///
/// \file
/// Filters merged events and tells one flow's life: who routed it, when, why.
/// Pure.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_FLOW_TRACE_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_FLOW_TRACE_H

#include "marjoramrail/timeline.h"

namespace marjoramrail::ctl {

/// Empty fields let everything through.
struct event_filter {
  std::string Service;
  std::string Flow;
  std::string Host;

  bool passes(const timeline_event &Event) const;
};

/// One event on one line.
std::string toText(const timeline_event &Event);

/// The lines that tell the life of \p Flow: its own events, and between them
/// what changed its service meanwhile (views, generations, targets, leases) and
/// what happened to the processes that handled it.
/// Empty if no event names the flow. \p Events are merged.
std::vector<std::string> explainFlow(const std::vector<timeline_event> &Events,
                                     const std::string &Flow);

/// The flow that carried the request with the id \p Request.
std::optional<std::string>
flowOfRequest(const std::vector<timeline_event> &Events,
              const std::string &Request);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_FLOW_TRACE_H
