#include "marjoramrail/timeline.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace marjoramrail {

/// A message with a greater clock is taken for a fault and not followed: one
/// corrupted message would otherwise exhaust the clock of the whole fleet, and
/// events after it could no longer be put in order.
static constexpr std::uint64_t GreatestClock = std::uint64_t(1) << 62;

timeline::timeline(std::string Process, wall_clock WallMs, sink Sink)
    : Process(std::move(Process)), WallMs(std::move(WallMs)),
      Sink(std::move(Sink)) {}

void timeline::record(timeline_event Event) {
  Event.Clock = ++Clock;
  Event.WallMs = WallMs();
  Event.Process = Process;
  const std::string Line = toJsonLine(Event);
  if (Sink)
    Sink(Line);
  Lines.push_back(Line);
  if (Lines.size() > Kept)
    Lines.pop_front();
}

void timeline::witness(std::uint64_t Received) {
  if (Received <= GreatestClock)
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
