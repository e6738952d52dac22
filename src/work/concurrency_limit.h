//===- concurrency_limit.h - Adaptive concurrency limit ---------*- C++ -*-===//
///
/// \file
/// Adapts the number of concurrent requests when the declared number of slots
/// is wrong.
///
/// Load pattern: a target declares four slots but slows down with more than
/// two, or could run eight; it has just started and is cold; or it sheds load.
/// With a limit that is too high every answer is slow: answer times grow with
/// the number of requests in flight while throughput does not. With a limit
/// that is too low the target is idle while callers wait.
///
/// The limit changes by trials. It is lowered when answers take CutRatio times
/// as long as those of requests that ran alone, and raised when requests wait
/// because of it. A trial that brought no improvement after one window is
/// reverted, so a target that is slow for another reason is not slowed further
/// by fewer slots. The mean of 128 exponentially distributed times is within 9%
/// of the true mean, less than half of the smallest effect to be detected (one
/// slot more of four: 25%). When the target sheds a request, the limit is
/// immediately set below the number of requests in flight.
///
/// Without LowerLimit only trials above the declared slots are made, and a
/// target that sheds is not paused.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_CONCURRENCY_LIMIT_H
#define MARJORAMRAIL_SRC_WORK_CONCURRENCY_LIMIT_H

#include "marjoramrail/work.h"

namespace marjoramrail::internal {

class concurrency_limit {
public:
  explicit concurrency_limit(const admission_settings &Settings);

  /// The target has stated another number of slots. The limit starts from it.
  void setDeclared(std::size_t Slots);

  /// The first call to limit() starts the cold start.
  std::size_t limit(instant Now) const;
  bool ramping(instant Now) const;
  /// Remaining time for which the target asked for no requests, or zero.
  duration pause(instant Now) const;

  /// Records that a short request was answered after \p Elapsed. \p Alone: it
  /// was the only one in flight when it started. \p OthersWaiting: other
  /// requests wait for a slot.
  void answered(duration Elapsed, bool Alone, bool OthersWaiting, instant Now);
  /// Records that the target shed a request while \p InFlight requests were in
  /// flight, including that one.
  void shed(std::size_t InFlight, duration RetryAfter, instant Now);

private:
  enum class trial { None, Cut, Raise };

  void recordAlone(double Seconds);
  /// The lowest limit that a trial or a shed request may set.
  std::size_t minLimit() const { return LowerLimit ? 1 : Declared; }
  bool exceedsAlone(double Mean, double Ratio) const;
  void closeWindow(double Mean, bool OthersWaiting);
  void judgeTrial(double Mean);
  void beginTrial(trial Kind, std::size_t Next, double Mean);

  std::size_t Declared;
  double MaxLimitFactor;
  std::size_t MaxLimit;
  bool LowerLimit;
  duration ColdStart;
  double CutRatio;
  std::uint32_t BaseWindow;
  /// Number of answers in a window.
  std::uint32_t Window = 0;
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
  /// Number of windows until the next trial, and the number to wait after the
  /// next failed trial.
  std::uint32_t HoldOff = 0;
  std::uint32_t NextHoldOff = FirstHoldOff;

  static constexpr std::uint32_t FirstHoldOff = 4;
  static constexpr std::uint32_t MaxHoldOff = 64;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_CONCURRENCY_LIMIT_H
