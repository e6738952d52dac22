//===- retry_budget.h - Retries as a share of first tries -------*- C++ -*-===//
///
/// \file
/// Load pattern: after an outage every caller without an answer retries
/// repeatedly. The retries displace first tries, which then become retries
/// themselves, so the load stays above the target's capacity after its cause
/// has ended. The service is fully used but has almost no goodput. While
/// requests wait, retries may therefore be at most Share of the first tries.
/// While slots are free, retries delay nobody and are not counted.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_WORK_RETRY_BUDGET_H
#define MARJORAMRAIL_SRC_WORK_RETRY_BUDGET_H

#include <algorithm>

namespace marjoramrail::internal {

class retry_budget {
public:
  explicit retry_budget(double Share) : Share(Share) {}

  void firstTry() { Tokens = std::min(Tokens + Share, MaxTokens); }

  /// Returns whether a retry may join the queue now, and takes a token if so.
  bool take() {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  /// Maximum number of tokens saved in quiet times for a burst of retries.
  static constexpr double MaxTokens = 10;

  double Share;
  double Tokens = MaxTokens;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_RETRY_BUDGET_H
