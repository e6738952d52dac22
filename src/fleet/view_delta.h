//===- view_delta.h - Differences between two views -------------*- C++ -*-===//
///
/// \file
/// Encodes the changes between two views. A host that joins a service of a
/// thousand changes one entry; sending the other 999 to 12,000 nodes would use
/// up the byte budget of minutes.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_VIEW_DELTA_H
#define MARJORAMRAIL_FLEET_VIEW_DELTA_H

#include "fleet/message.h"

namespace marjoramrail::internal {

/// \p From and \p To must be of the same service.
view_delta makeDelta(const membership &From, const membership &To);

/// Returns nothing if \p Delta does not build on \p From.
std::optional<membership> applyDelta(const membership &From,
                                     const view_delta &Delta);

/// Sorts targets by number and generations newest first. All nodes keep this
/// order, so that equal views have equal bytes.
void sortMembership(membership &Members);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_VIEW_DELTA_H
