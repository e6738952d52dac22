//===- first_known.h - Since when a change is known -------------*- C++ -*-===//
///
/// \file
/// Tracks since when the latest changes of one kind have been known to any
/// balancer, from what this balancer has read and from what its peers say. The
/// store accepted each change before that moment.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_FIRST_KNOWN_H
#define MARJORAMRAIL_DIRECTORY_FIRST_KNOWN_H

#include "marjoramrail/base.h"

#include <algorithm>
#include <cstdint>
#include <map>

namespace marjoramrail::internal {

class first_known {
public:
  /// Some balancer has known the change \p Version since \p Since, or longer.
  void note(std::uint64_t Version, instant Since) {
    const auto [Change, IsNew] = KnownSince.try_emplace(Version, Since);
    Change->second = std::min(Change->second, Since);
    if (KnownSince.size() > MaxChanges)
      KnownSince.erase(KnownSince.begin());
  }

  /// A moment at which some balancer knew the change \p Version: the earliest
  /// one on record, or \p Now. Who knew a newer change knew this one too.
  instant since(std::uint64_t Version, instant Now) const {
    instant Earliest = Now;
    for (auto Change = KnownSince.lower_bound(Version);
         Change != KnownSince.end(); ++Change)
      Earliest = std::min(Earliest, Change->second);
    return Earliest;
  }

private:
  /// More changes than a balancer can be behind by without copying them all.
  static constexpr std::size_t MaxChanges = 16;

  std::map<std::uint64_t, instant> KnownSince;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_FIRST_KNOWN_H
