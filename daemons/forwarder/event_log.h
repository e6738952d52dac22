//===- event_log.h - The decisions of one process, as lines -----*- C++ -*-===//
///
/// \file
/// Joins the time line, its budget and standard output: what a process decided
/// and believed, one JSON object a line, bounded and never waiting.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_EVENT_LOG_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_EVENT_LOG_H

#include "marjoramrail/forward.h"
#include "marjoramrail/runtime.h"
#include "marjoramrail/timeline.h"

namespace marjoramrail::daemons {

class event_log {
public:
  event_log(event_loop &Loop, const std::string &Process);

  /// Whether an event of this kind is recorded now. One that is not counts as
  /// left out, and costs nothing more.
  bool wants(event_kind What);
  /// Records an event that was asked for with wants().
  void record(timeline_event Event);
  void record(event_kind What, std::string Why, std::string Host = "");
  /// A decision about a flow of \p Service.
  void record(const flow_event &Event, const std::string &Service,
              const std::string &Request = "");

  std::uint64_t clock() const { return Events.clock(); }
  /// Puts what is recorded from now on behind what another process recorded.
  void observeClock(std::uint64_t Clock) { Events.observeClock(Clock); }

  std::string recent() const { return Events.recent(); }
  void flush() { Lines.flush(); }

  std::uint64_t lines() const { return Recorded; }
  std::uint64_t droppedLines() const {
    return DroppedLines + Lines.droppedLines();
  }

private:
  /// Lines kept for the page /timeline.
  static constexpr std::size_t KeptLines = 256;

  event_loop &Loop;
  line_writer Lines;
  timeline Events;
  event_budget Budget;
  std::uint64_t Recorded = 0;
  std::uint64_t DroppedLines = 0;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_EVENT_LOG_H
