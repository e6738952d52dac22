#include "work/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace marjoramrail::internal {

namespace {

/// A cut has helped if answers take less than this share of the time before.
constexpr double CutHelped = 0.85;
/// Raising the limit from L by one slot has not helped if answers take longer
/// by more than this share of 1/L: the target then only divides the same speed
/// among more requests.
constexpr double RaiseTolerance = 0.5;
/// Number of samples in the mean of requests that ran alone; keeps it within
/// 9%.
constexpr std::uint32_t AloneWindow = 128;
/// The mean is not used with fewer samples.
constexpr std::uint32_t MinAloneSamples = 32;
/// Without LowerLimit a limit that has been raised by chance is hardly ever
/// lowered again, so windows are at least this many times as long. With windows
/// of 128 answers, one in six raises from four slots to five is accepted by
/// chance although it brings no improvement. With more slots, one slot makes
/// less difference, so the factor is the number of declared slots if that is
/// greater. A window takes about the same time then, because answers are more
/// frequent.
constexpr std::uint32_t RaiseOnlyWindows = 4;
constexpr duration DefaultPause = std::chrono::milliseconds(100);
constexpr duration MaxPause = std::chrono::seconds(1);

double toSeconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

concurrency_limit::concurrency_limit(const admission_settings &Settings)
    : MaxLimitFactor(Settings.MaxLimitFactor), LowerLimit(Settings.LowerLimit),
      ColdStart(Settings.ColdStart), CutRatio(Settings.CutRatio),
      BaseWindow(Settings.LimitWindow) {
  setDeclared(Settings.Slots);
}

void concurrency_limit::setDeclared(std::size_t Slots) {
  Declared = std::max<std::size_t>(Slots, 1);
  Window = BaseWindow;
  if (!LowerLimit)
    Window *= std::max(RaiseOnlyWindows, std::uint32_t(Declared));
  MaxLimit = std::max<std::size_t>(
      Declared, std::size_t(std::lround(double(Declared) * MaxLimitFactor)));
  Limit = Declared;
  Trial = trial::None;
  Sum = 0;
  Count = 0;
  OthersWaitingCount = 0;
  HoldOff = 0;
  NextHoldOff = FirstHoldOff;
}

bool concurrency_limit::ramping(instant Now) const {
  if (ColdStart <= duration::zero())
    return false;
  if (!Started)
    Started = Now;
  return Now - *Started < ColdStart;
}

std::size_t concurrency_limit::limit(instant Now) const {
  if (!ramping(Now))
    return Limit;
  const double Age = toSeconds(Now - *Started) / toSeconds(ColdStart);
  return std::min(Limit, 1 + std::size_t(double(Declared - 1) * Age));
}

duration concurrency_limit::pause(instant Now) const {
  return std::max(duration::zero(), PausedUntil - Now);
}

void concurrency_limit::answered(duration Elapsed, bool Alone,
                                 bool OthersWaiting, instant Now) {
  const double Seconds = toSeconds(Elapsed);
  if (Alone)
    recordAlone(Seconds);
  if (ramping(Now))
    return;
  Sum += Seconds;
  OthersWaitingCount += OthersWaiting ? 1 : 0;
  if (++Count < Window)
    return;
  const double Mean = Sum / Count;
  const bool Needed = OthersWaitingCount * 2 > Count;
  Sum = 0;
  Count = 0;
  OthersWaitingCount = 0;
  closeWindow(Mean, Needed);
}

void concurrency_limit::recordAlone(double Seconds) {
  AloneCount = std::min(AloneCount + 1, AloneWindow);
  AloneMean += (Seconds - AloneMean) / AloneCount;
}

bool concurrency_limit::exceedsAlone(double Mean, double Ratio) const {
  return AloneCount >= MinAloneSamples && Mean > Ratio * AloneMean;
}

void concurrency_limit::closeWindow(double Mean, bool OthersWaiting) {
  if (Trial != trial::None) {
    judgeTrial(Mean);
    return;
  }
  if (HoldOff > 0) {
    --HoldOff;
    return;
  }
  if (exceedsAlone(Mean, CutRatio) && Limit > minLimit()) {
    const double Ratio = std::min(Mean / AloneMean, 2.0);
    const auto Next = std::size_t(std::lround(double(Limit) / Ratio));
    beginTrial(trial::Cut, std::clamp<std::size_t>(Next, minLimit(), Limit - 1),
               Mean);
    return;
  }
  if (OthersWaiting && AloneCount < MinAloneSamples && Limit > 1 &&
      LowerLimit) {
    // The target is always busy, so no request ever ran alone. Test whether
    // fewer run faster.
    beginTrial(trial::Cut, Limit - Limit / 2, Mean);
    return;
  }
  if (OthersWaiting && Limit < MaxLimit)
    beginTrial(trial::Raise, Limit + 1, Mean);
}

void concurrency_limit::beginTrial(trial Kind, std::size_t Next, double Mean) {
  Trial = Kind;
  LimitBefore = Limit;
  MeanBefore = Mean;
  Limit = Next;
}

void concurrency_limit::judgeTrial(double Mean) {
  const bool WasCut = Trial == trial::Cut;
  const double Allowed =
      WasCut ? CutHelped : 1 + RaiseTolerance / double(LimitBefore);
  Trial = trial::None;
  const bool ExceedsAlone = !WasCut && exceedsAlone(Mean, Allowed);
  if (Mean <= MeanBefore * Allowed && !ExceedsAlone) {
    NextHoldOff = FirstHoldOff;
    HoldOff = WasCut ? FirstHoldOff : 0;
    return;
  }
  Limit = LimitBefore;
  HoldOff = NextHoldOff;
  NextHoldOff = std::min(NextHoldOff * 2, MaxHoldOff);
}

void concurrency_limit::shed(std::size_t InFlight, duration RetryAfter,
                             instant Now) {
  if (InFlight > 1) {
    Limit = std::min(Limit, std::max(InFlight - 1, minLimit()));
    Trial = trial::None;
    HoldOff = FirstHoldOff;
    return;
  }
  if (!LowerLimit)
    return;
  const duration RequestedPause =
      RetryAfter > duration::zero() ? RetryAfter : DefaultPause;
  PausedUntil = std::max(PausedUntil, Now + std::min(RequestedPause, MaxPause));
}

} // namespace marjoramrail::internal
