#include "marjoramrail/timeline.h"

#include <algorithm>

namespace marjoramrail {

static bool isCommon(event_kind Kind) {
  return Kind == event_kind::FlowRouted || Kind == event_kind::FlowAccepted ||
         Kind == event_kind::FlowHandedOn || Kind == event_kind::FlowClosed ||
         Kind == event_kind::RequestSeen || Kind == event_kind::RequestAnswered;
}

bool event_budget::take(event_kind Kind, instant Now) {
  kind_state &State = Kinds[static_cast<std::size_t>(Kind)];
  if (!State.Lines)
    State.Lines = isCommon(Kind) ? token_bucket(CommonPerSecond, CommonBurst)
                                 : token_bucket(RarePerSecond, RareBurst);
  if (State.Lines->take(Now))
    return true;
  ++State.Dropped;
  return false;
}

std::uint64_t event_budget::takeDroppedCount(event_kind Kind, instant Now) {
  constexpr duration Spacing = std::chrono::seconds(1);
  kind_state &State = Kinds[static_cast<std::size_t>(Kind)];
  if (State.Dropped == 0 || Now - State.LastReportedAt < Spacing)
    return 0;
  State.LastReportedAt = Now;
  return std::exchange(State.Dropped, 0);
}

} // namespace marjoramrail
