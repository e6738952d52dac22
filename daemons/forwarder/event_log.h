//===- event_log.h - Event log of one process -------------------*- C++ -*-===//
///
/// \file
/// Writes the events of a process to standard output, one JSON object a line.
/// Combines the timeline, its event budget and a line writer, so the output is
/// bounded in volume and never blocks the loop.
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

  /// Whether the budget allows an event of this kind now. If not, the event is
  /// counted as dropped and the caller need not build it.
  bool wants(event_kind What);
  /// Records an event for which wants() has returned true.
  void record(timeline_event Event);
  void record(event_kind What, std::string Why, std::string Host = "");
  /// Records a decision about a flow of \p Service.
  void record(const flow_event &Event, const std::string &Service,
              const std::string &Request = "");

  std::uint64_t clock() const { return Events.clock(); }
  /// Advances the logical clock, so that later events are ordered after those
  /// that another process recorded up to \p Clock.
  void observeClock(std::uint64_t Clock) { Events.observeClock(Clock); }

  std::string recent() const { return Events.recent(); }
  void flush() { Lines.flush(); }

  std::uint64_t lines() const { return Recorded; }
  std::uint64_t droppedLines() const {
    return DroppedLines + Lines.droppedLines();
  }

private:
  /// Recent lines that the page /timeline shows.
  static constexpr std::size_t MaxRecentLines = 256;

  event_loop &Loop;
  line_writer Lines;
  timeline Events;
  event_budget Budget;
  std::uint64_t Recorded = 0;
  std::uint64_t DroppedLines = 0;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_EVENT_LOG_H
