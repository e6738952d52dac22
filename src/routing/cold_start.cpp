#include "marjoramrail/routing.h"

#include <algorithm>

namespace marjoramrail {

std::uint32_t coldStartPercent(duration Age, duration ColdStart) {
  constexpr std::uint32_t Full = 100;
  if (Age >= ColdStart)
    return Full;
  const auto Elapsed = std::max<duration::rep>(Age.count(), 0);
  const auto Grown = (Full - ColdStartFloor) * Elapsed / ColdStart.count();
  return ColdStartFloor + static_cast<std::uint32_t>(Grown);
}

} // namespace marjoramrail
