//===- static_views.h - Views out of the settings ---------------*- C++ -*-===//
///
/// \file
/// Views that stand in the settings file, for a balancer that is measured or
/// tried without a fleet.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_STATIC_VIEWS_H
#define MARJORAMRAIL_DAEMONS_STATIC_VIEWS_H

#include "marjoramrail/routing.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail::daemons {

/// Reads the list `static_views`: id, name, address, version, targets (id,
/// agent, zone) and generations (number, members: id, weight).
std::vector<service_view> readStaticViews(settings_reader &Reader);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_STATIC_VIEWS_H
