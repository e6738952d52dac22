#include "directory/store_availability.h"

#include <algorithm>

namespace marjoramrail::internal {

/// Wait after the first failure. Short, because a balancer cannot work after a
/// restart without data from the store, and one balancer makes few calls a
/// second.
static constexpr duration InitialRetryInterval = std::chrono::milliseconds(100);

bool store_availability::noteAnswer(instant Now) {
  Failures = 0;
  IsClosed = false;
  AnsweredAt = Now;
  return !std::exchange(Answering, true);
}

bool store_availability::noteFailure(instant BegunAt, instant Now) {
  ++Failures;
  LastFailure = {BegunAt, Now};
  return std::exchange(Answering, false);
}

duration store_availability::retryWait(duration Most) const {
  constexpr int MaxDoublings = 3;
  const int Doublings = std::clamp(Failures - 1, 0, MaxDoublings);
  return std::min(InitialRetryInterval * (1 << Doublings), Most);
}

} // namespace marjoramrail::internal
