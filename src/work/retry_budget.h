//===- retry_budget.h - Retries as a share of first tries -------*- C++ -*-===//
///
/// \file
/// Load pattern: after an outage every caller that got no answer asks again,
/// and again. Retries then crowd out first tries, each of which turns into a
/// retry in its turn: the load stays above what the target can do after its
/// cause is gone. One sees a service at full use with hardly any goodput. While
/// requests wait, retries may be at most Share of the first tries; with free
/// slots they cost nobody anything and are not counted.
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

  /// True if a retry may join the queue now.
  bool take() {
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  /// What a quiet time may save up for a burst of retries.
  static constexpr double MaxTokens = 10;

  double Share;
  double Tokens = MaxTokens;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_WORK_RETRY_BUDGET_H
