//===- first_known.h - Since when a change is known -------------*- C++ -*-===//
///
/// \file
/// Tracks since when the newest change of one kind has been known to any
/// balancer, from what this balancer has read and from what its peers say. The
/// store accepted the change before that moment.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_FIRST_KNOWN_H
#define MARJORAMRAIL_DIRECTORY_FIRST_KNOWN_H

#include "marjoramrail/base.h"

#include <algorithm>
#include <cstdint>

namespace marjoramrail::internal {

class first_known {
public:
  /// Some balancer has known the change \p Version since \p Since, or longer.
  void note(std::uint64_t Version, instant Since) {
    if (Version > Newest)
      KnownSince = Since;
    else if (Version == Newest)
      KnownSince = std::min(KnownSince, Since);
    Newest = std::max(Newest, Version);
  }

  /// A moment at which some balancer knew the change \p Version: the earliest
  /// one on record, or \p Now. Who knew a newer change knew this one too.
  instant since(std::uint64_t Version, instant Now) const {
    return Version <= Newest ? std::min(KnownSince, Now) : Now;
  }

private:
  std::uint64_t Newest = 0;
  instant KnownSince;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_FIRST_KNOWN_H
