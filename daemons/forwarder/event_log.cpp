#include "event_log.h"

#include <chrono>
#include <unistd.h>

namespace marjoramrail::daemons {

static std::int64_t wallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

event_log::event_log(event_loop &Loop, const std::string &Process)
    : Loop(Loop), Lines(Loop, STDOUT_FILENO),
      Events(
          Process, wallClockMs,
          [this](const std::string &Line) { Lines.write(Line); },
          MaxRecentLines) {}

bool event_log::wants(event_kind What) {
  if (Budget.take(What, Loop.timers().now()))
    return true;
  ++DroppedLines;
  return false;
}

void event_log::record(timeline_event Event) {
  if (const std::uint64_t Skipped =
          Budget.takeDroppedCount(Event.What, Loop.timers().now())) {
    timeline_event Gap;
    Gap.What = event_kind::LinesDropped;
    Gap.Why = std::string(nameOf(EventKindNames, Event.What));
    Gap.Load = static_cast<double>(Skipped);
    Events.record(std::move(Gap));
  }
  ++Recorded;
  Events.record(std::move(Event));
}

void event_log::record(event_kind What, std::string Why, std::string Host) {
  if (!wants(What))
    return;
  timeline_event Event;
  Event.What = What;
  Event.Why = std::move(Why);
  Event.Host = std::move(Host);
  record(std::move(Event));
}

void event_log::record(const flow_event &Flow, const std::string &Service,
                       const std::string &Request) {
  if (!wants(Flow.What))
    return;
  timeline_event Event;
  Event.What = Flow.What;
  Event.Why = std::string(Flow.Why);
  Event.Service = Service;
  Event.Request = Request;
  if (Flow.Flow.Caller.Port != 0)
    Event.Flow = toText(Flow.Flow);
  if (Flow.Agent.Port != 0)
    Event.Host = toText(Flow.Agent);
  Event.Load = Flow.Load;
  if (Flow.Age != duration::zero())
    Event.AgeMs = inMilliseconds(Flow.Age);
  record(std::move(Event));
}

} // namespace marjoramrail::daemons
