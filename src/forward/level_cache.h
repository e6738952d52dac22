//===- level_cache.h - Service levels that balancers state ------*- C++ -*-===//
///
/// \file
/// The newest service level that balancers have stated for each route of an
/// agent's service. During a change of the configuration, balancers state old
/// and new levels in turns; the newest version counts, so that the order in
/// which packets arrive does not matter. Packets of a balancer that states no
/// levels have the level that others have stated for their route, until none
/// has stated it for Lifetime: operators may have removed it.
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
  /// Longer than a change of the configuration takes to reach all balancers.
  static constexpr duration Lifetime = std::chrono::seconds(20);

  /// Stores \p Stated, if any, unless a newer version is known, and returns the
  /// level of the route at \p Address; null if none is known.
  const stated_level *update(const endpoint &Address,
                             const std::optional<stated_level> &Stated,
                             instant Now) {
    auto Found = Levels.find(Address);
    if (Found != Levels.end() && Now - Found->second.StatedAt > Lifetime) {
      Levels.erase(Found);
      Found = Levels.end();
    }
    if (!Stated)
      return Found == Levels.end() ? nullptr : &Found->second.Stated;
    if (Found == Levels.end())
      return add(Address, *Stated, Now);
    if (Stated->Version >= Found->second.Stated.Version)
      Found->second = {*Stated, Now};
    return &Found->second.Stated;
  }

private:
  struct entry {
    stated_level Stated;
    instant StatedAt;
  };

  const stated_level *add(const endpoint &Address, const stated_level &Stated,
                          instant Now) {
    // The routes of the next packets are stored again.
    if (Levels.size() >= MaxAddresses)
      Levels.clear();
    return &(Levels[Address] = {Stated, Now}).Stated;
  }

  std::map<endpoint, entry> Levels;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_LEVEL_CACHE_H
