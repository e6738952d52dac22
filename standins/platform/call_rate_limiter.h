//===- call_rate_limiter.h - Limit on the rate of calls ---------*- C++ -*-===//
///
/// \file
/// A token bucket that allows bursts of up to one second's calls.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_STANDINS_PLATFORM_CALL_RATE_LIMITER_H
#define MARJORAMRAIL_STANDINS_PLATFORM_CALL_RATE_LIMITER_H

#include "marjoramrail/base.h"

#include <algorithm>

namespace marjoramrail::standins {

/// Limits the calls of one kind to a rate.
class call_rate_limiter {
public:
  explicit call_rate_limiter(double PerSecond)
      : PerSecond(PerSecond), Tokens(PerSecond) {}

  /// Takes one token. Returns whether the call is allowed at \p Now.
  bool take(instant Now) {
    const std::chrono::duration<double> Elapsed = Now - Last;
    Last = Now;
    Tokens = std::min(PerSecond, Tokens + Elapsed.count() * PerSecond);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  double PerSecond;
  double Tokens;
  instant Last{};
};

} // namespace marjoramrail::standins

#endif // MARJORAMRAIL_STANDINS_PLATFORM_CALL_RATE_LIMITER_H
