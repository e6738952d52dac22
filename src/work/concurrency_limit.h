//===- concurrency_limit.h - How many requests run at a time ----*- C++ -*-===//
///
/// \file
/// The slots in use, where the declared number misleads.
///
/// Load pattern: a target declares four slots and slows down with more than
/// two, or could run eight; it has just started and is cold; it sheds. Without
/// this a number too high makes every answer slow (one sees answer times grow
/// with the requests in flight while throughput stays), and one too low leaves
/// the target idle while callers wait.
///
/// The limit moves by trials: it is lowered when answers take CutRatio times
/// what one request alone takes, raised when it is what makes requests wait.
/// After one window a trial that brought nothing is taken back, so a target
/// that is slow for a reason of its own is not made slower still by fewer
/// slots. The mean of 128 exponential times is within 9% of the truth, less
/// than half the least effect that is looked for (one slot more of four: 25%).
/// A shed lowers the limit below what was in flight at once.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_CONCURRENCY_LIMIT_H
#define MARJORAMRAIL_SRC_WORK_CONCURRENCY_LIMIT_H

#include "marjoramrail/work.h"

namespace marjoramrail::internal {

class concurrency_limit {
public:
  explicit concurrency_limit(const admission_settings &Settings);

  /// The first call to limit() starts the cold start.
  std::size_t limit(instant Now) const;
  bool ramping(instant Now) const;
  /// Zero, or how long the target asked to be left alone.
  duration pause(instant Now) const;

  /// A short request was answered after \p Elapsed. \p Alone: it was the only
  /// one in flight when it began. \p Wanted: others wait for a slot.
  void answered(duration Elapsed, bool Alone, bool OthersWaiting, instant Now);
  /// The target refused with \p InFlight requests, that one counted.
  void shed(std::size_t InFlight, duration RetryAfter, instant Now);

private:
  enum class trial { None, Cut, Raise };

  void recordAlone(double Seconds);
  bool exceedsAlone(double Mean, double Ratio) const;
  void closeWindow(double Mean, bool OthersWaiting);
  void judgeTrial(double Mean);
  void beginTrial(trial Kind, std::size_t Next, double Mean);

  std::size_t Declared;
  std::size_t MaxLimit;
  duration ColdStart;
  double CutRatio;
  std::uint32_t Window;
  mutable std::optional<instant> Started;
  instant PausedUntil;

  std::size_t Limit;
  double AloneMean = 0;
  std::uint32_t AloneCount = 0;
  double Sum = 0;
  std::uint32_t Count = 0;
  std::uint32_t OthersWaitingCount = 0;

  trial Trial = trial::None;
  std::size_t LimitBefore = 0;
  double MeanBefore = 0;
  /// Windows until the next trial, and how many after the next failed one.
  std::uint32_t HoldOff = 0;
  std::uint32_t NextHoldOff = FirstHoldOff;

  static constexpr std::uint32_t FirstHoldOff = 4;
  static constexpr std::uint32_t MaxHoldOff = 64;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_CONCURRENCY_LIMIT_H
