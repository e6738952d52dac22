#include "work/return_time.h"

#include <algorithm>
#include <cmath>

namespace marjoramrail::internal {

void return_time::firstTry(double Need, instant Now) {
  const double Passed = std::chrono::duration<double>(Now - FirstTryAt).count();
  FirstTryAt = Now;
  FirstTries *= std::exp(-Passed / AverageSeconds);
  FirstTries += Need / AverageSeconds;
}

duration return_time::book(double Need, double Queued, double Slots,
                           instant Now) {
  const double Passed = std::chrono::duration<double>(Now - At).count();
  At = Now;
  const double Spare = std::max(Slots - FirstTries, Slots * LeastSpare);
  SentAway = std::max(0.0, SentAway - Passed * Spare);
  const double MaxSeconds = std::chrono::duration<double>(Max).count();
  SentAway = std::min(SentAway + Need, MaxSeconds * Spare);
  const double Drained = Queued / Slots + SentAway / Spare;
  std::uniform_real_distribution<> Late(1, 1 + Jitter);
  const std::chrono::duration<double> Seconds(Drained * Late(Random));
  return std::clamp(std::chrono::duration_cast<duration>(Seconds), Least, Max);
}

} // namespace marjoramrail::internal
