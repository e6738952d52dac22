//===- view_delta.h - What changed between two views ------------*- C++ -*-===//
///
/// \file
/// A join in a service of a thousand hosts changes one of them; sending the
/// other 999 to 12,000 nodes would spend the byte budget of minutes.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_VIEW_DELTA_H
#define MARJORAMRAIL_FLEET_VIEW_DELTA_H

#include "fleet/message.h"

namespace marjoramrail::internal {

/// \p From and \p To are of one service.
view_delta makeDelta(const membership &From, const membership &To);

/// Returns nothing if \p Delta does not build on \p From.
std::optional<membership> applyDelta(const membership &From,
                                     const view_delta &Delta);

/// Targets by number and generations newest first: the order that all nodes
/// keep, so that equal views are equal bytes.
void sortMembership(membership &Members);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_VIEW_DELTA_H
