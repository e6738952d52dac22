#include "marjoramrail/timeline.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace marjoramrail {

/// Logical clocks count microseconds: each event advances them by at least one,
/// and in milliseconds they would outrun the wall clock at a thousand events a
/// second.
static std::uint64_t clockOf(std::int64_t WallMs) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(WallMs, 0)) * 1000;
}

static constexpr std::int64_t MaxAheadMs = 3600 * 1000;

timeline::timeline(std::string Process, wall_clock WallMs, sink Sink,
                   std::size_t MaxEvents)
    : Process(std::move(Process)), WallMs(std::move(WallMs)),
      Sink(std::move(Sink)), Limit(MaxEvents) {}

void timeline::record(timeline_event Event) {
  Event.WallMs = WallMs();
  Clock = std::max(Clock + 1, clockOf(Event.WallMs));
  Event.Clock = Clock;
  Event.Process = Process;
  const std::string Line = toJsonLine(Event);
  if (Sink)
    Sink(Line);
  Lines.push_back(Line);
  if (Lines.size() > Limit)
    Lines.pop_front();
}

void timeline::observeClock(std::uint64_t Received) {
  if (Received <= clockOf(WallMs() + MaxAheadMs))
    Clock = std::max(Clock, Received);
}

std::string timeline::recent() const {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

std::vector<timeline_event> merge(std::vector<timeline_event> Events) {
  std::stable_sort(Events.begin(), Events.end(),
                   [](const timeline_event &A, const timeline_event &B) {
                     return std::tie(A.Clock, A.WallMs, A.Process) <
                            std::tie(B.Clock, B.WallMs, B.Process);
                   });
  return Events;
}

} // namespace marjoramrail
