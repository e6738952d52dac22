#include "marjoramrail/places.h"

#include <algorithm>
#include <cmath>

namespace marjoramrail {

/// The limit holds for every span of one second. The additional time allows for
/// flows whose packets the target receives with different delays.
static constexpr duration Window = std::chrono::milliseconds(1050);

std::optional<std::size_t> warmup_limit::flowsPerWindow() const {
  if (!Settings || Rate == 0.0)
    return std::nullopt;
  const double Most =
      Rate.value_or(0) * Settings->BurstFactor + Settings->BurstExtra;
  return static_cast<std::size_t>(std::max(std::floor(Most), 0.0));
}

void warmup_limit::removeExpired(instant Now) {
  while (!Admitted.empty() && Now - Admitted.front().At >= Window)
    Admitted.pop_front();
}

bool warmup_limit::isExhausted(instant Now) const {
  const auto Most = flowsPerWindow();
  if (!Most)
    return false;
  const auto InWindow = std::count_if(
      Admitted.begin(), Admitted.end(),
      [Now](const admitted_flow &Flow) { return Now - Flow.At < Window; });
  return static_cast<std::size_t>(InWindow) >= *Most;
}

bool warmup_limit::admits(const flow_key &Flow, instant Now) {
  if (!flowsPerWindow())
    return true;
  removeExpired(Now);
  const bool IsCounted = std::any_of(
      Admitted.begin(), Admitted.end(),
      [&](const admitted_flow &Other) { return Other.Flow == Flow; });
  if (IsCounted)
    return true;
  if (isExhausted(Now))
    return false;
  Admitted.push_back({Now, Flow});
  return true;
}

} // namespace marjoramrail
