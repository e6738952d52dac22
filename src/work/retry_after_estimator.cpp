#include "work/retry_after_estimator.h"

#include <algorithm>
#include <cmath>

namespace marjoramrail::internal {

void retry_after_estimator::firstTry(double ServiceSeconds, instant Now) {
  const double Passed = std::chrono::duration<double>(Now - FirstTryAt).count();
  FirstTryAt = Now;
  FirstTries *= std::exp(-Passed / AverageSeconds);
  FirstTries += ServiceSeconds / AverageSeconds;
}

duration retry_after_estimator::book(double ServiceSeconds, double Queued,
                                     double Slots, instant Now) {
  const double Passed = std::chrono::duration<double>(Now - At).count();
  At = Now;
  const double Spare = std::max(Slots - FirstTries, Slots * MinSpareShare);
  DeferredWork = std::max(0.0, DeferredWork - Passed * Spare);
  const double MaxSeconds = std::chrono::duration<double>(Max).count();
  DeferredWork = std::min(DeferredWork + ServiceSeconds, MaxSeconds * Spare);
  const double Drained = Queued / Slots + DeferredWork / Spare;
  std::uniform_real_distribution<> JitterFactor(1, 1 + Jitter);
  const std::chrono::duration<double> Seconds(Drained * JitterFactor(Random));
  return std::clamp(std::chrono::duration_cast<duration>(Seconds),
                    MinRetryAfter, Max);
}

} // namespace marjoramrail::internal
