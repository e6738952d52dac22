//===- level_cache.h - Service levels that balancers state ------*- C++ -*-===//
///
/// \file
/// The newest service level that balancers have stated for each route of an
/// agent's service. During a change of the configuration, balancers state old
/// and new levels in turns; the newest version counts, so that the order in
/// which packets arrive does not matter. Packets of a balancer that states no
/// levels have the level that others have stated for their route.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_LEVEL_CACHE_H
#define MARJORAMRAIL_FORWARD_LEVEL_CACHE_H

#include "marjoramrail/service_level.h"

#include <map>
#include <optional>

namespace marjoramrail::internal {

class level_cache {
public:
  /// More addresses than the flows of one target come from.
  static constexpr std::size_t MaxAddresses = 1024;

  /// Stores \p Stated, if any, unless a newer version is known, and returns the
  /// level of the route at \p Address; null if none is known.
  const stated_level *update(const endpoint &Address,
                             const std::optional<stated_level> &Stated) {
    const auto Found = Levels.find(Address);
    if (!Stated)
      return Found == Levels.end() ? nullptr : &Found->second;
    if (Found != Levels.end()) {
      if (Stated->Version >= Found->second.Version)
        Found->second = *Stated;
      return &Found->second;
    }
    // The routes of the next packets are stored again.
    if (Levels.size() >= MaxAddresses)
      Levels.clear();
    return &(Levels[Address] = *Stated);
  }

private:
  std::map<endpoint, stated_level> Levels;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_LEVEL_CACHE_H
