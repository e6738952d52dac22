#include "work/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace marjoramrail::internal {

namespace {

/// A cold target starts with this share of its slots.
constexpr double FirstShare = 0.25;
/// A cut has helped if answers take less than this share of before.
constexpr double CutHelped = 0.85;
/// A raise of one slot in L has not helped if answers take longer by more than
/// this share of 1/L: the target then only divides the same speed by more.
constexpr double RaiseTolerance = 0.5;
/// Weight of one answer in the mean of requests that ran alone.
constexpr double AloneWeight = 1.0 / 16;
constexpr duration DefaultPause = std::chrono::milliseconds(100);
constexpr duration MaxPause = std::chrono::seconds(1);

double toSeconds(duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t Slots, double MaxFactor,
                                     duration ColdStart)
    : Declared(std::max<std::size_t>(Slots, 1)),
      Most(std::max<std::size_t>(
          Declared, std::size_t(std::lround(Declared * MaxFactor)))),
      ColdStart(ColdStart), Limit(Declared) {}

bool concurrency_limit::ramping(instant Now) const {
  if (!Started)
    Started = Now;
  return Now - *Started < ColdStart;
}

std::size_t concurrency_limit::limit(instant Now) const {
  if (!ramping(Now))
    return Limit;
  const double Age = toSeconds(Now - *Started) / toSeconds(ColdStart);
  const double Share = FirstShare + (1 - FirstShare) * Age;
  const auto Ramped = std::size_t(std::ceil(Declared * Share));
  return std::min(Limit, std::max<std::size_t>(Ramped, 1));
}

duration concurrency_limit::pause(instant Now) const {
  return std::max(duration::zero(), PausedUntil - Now);
}

void concurrency_limit::answered(duration Elapsed, bool Alone, bool Wanted) {
  const double Seconds = toSeconds(Elapsed);
  if (Alone && AloneMean)
    *AloneMean += AloneWeight * (Seconds - *AloneMean);
  else if (Alone)
    AloneMean = Seconds;
  Sum += Seconds;
  WantedCount += Wanted ? 1 : 0;
  if (++Count < Window)
    return;
  const double Mean = Sum / Count;
  const bool Needed = WantedCount * 2 > Count;
  Sum = 0;
  Count = 0;
  WantedCount = 0;
  closeWindow(Mean, Needed);
}

void concurrency_limit::closeWindow(double Mean, bool Wanted) {
  if (Trial != trial::None) {
    judgeTrial(Mean);
    return;
  }
  if (HoldOff > 0) {
    --HoldOff;
    return;
  }
  if (AloneMean && Mean > CutRatio * *AloneMean && Limit > 1) {
    const double Ratio = std::min(Mean / *AloneMean, 2.0);
    const auto Next = std::size_t(std::lround(double(Limit) / Ratio));
    beginTrial(trial::Cut, std::clamp<std::size_t>(Next, 1, Limit - 1), Mean);
    return;
  }
  if (Wanted && Limit < Most)
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
  if (Mean <= MeanBefore * Allowed) {
    NextHoldOff = FirstHoldOff;
    HoldOff = WasCut ? FirstHoldOff : 0;
    return;
  }
  Limit = LimitBefore;
  // Slow with fewer slots as well: this is how long one request takes now.
  if (WasCut)
    AloneMean = Mean;
  HoldOff = NextHoldOff;
  NextHoldOff = std::min(NextHoldOff * 2, MaxHoldOff);
}

void concurrency_limit::shed(std::size_t InFlight, duration RetryAfter,
                             instant Now) {
  if (InFlight > 1) {
    Limit = std::min(Limit, InFlight - 1);
    Trial = trial::None;
    HoldOff = FirstHoldOff;
    return;
  }
  const duration Asked =
      RetryAfter > duration::zero() ? RetryAfter : DefaultPause;
  PausedUntil = std::max(PausedUntil, Now + std::min(Asked, MaxPause));
}

} // namespace marjoramrail::internal
