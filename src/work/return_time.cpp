#include "work/return_time.h"

#include <algorithm>

namespace marjoramrail::internal {

duration return_time::book(double Need, double Queued, double Slots,
                           instant Now) {
  const double Passed = std::chrono::duration<double>(Now - At).count();
  At = Now;
  SentAway = std::max(0.0, SentAway - Passed * Slots);
  const double MaxSeconds = std::chrono::duration<double>(Max).count();
  SentAway = std::min(SentAway + Need, MaxSeconds * Slots);
  const double Drained = (Queued + SentAway) / Slots;
  std::uniform_real_distribution<> Late(1, 1 + Jitter);
  const std::chrono::duration<double> Seconds(Drained * Late(Random));
  return std::clamp(std::chrono::duration_cast<duration>(Seconds), Least, Max);
}

} // namespace marjoramrail::internal
