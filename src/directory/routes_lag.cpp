#include "directory/routes_lag.h"

#include <algorithm>

namespace marjoramrail::internal {

routes_lag::change routes_lag::update(const routes_position &Position,
                                      instant Now) {
  const duration Took = Now - Position.Since;
  const bool WasLate = Late.has_value();
  if (Took <= MaxStepTime) {
    Late.reset();
    return WasLate ? change::Current : change::None;
  }
  Longest = WasLate ? std::max(Longest, Took) : Took;
  Late = Took;
  return WasLate ? change::None : change::Late;
}

} // namespace marjoramrail::internal
