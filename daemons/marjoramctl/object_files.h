//===- object_files.h - Files of objects that verbs read --------*- C++ -*-===//
///
/// \file
/// Reads all files of a command whole before anything is written.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_OBJECT_FILES_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_OBJECT_FILES_H

#include "verb.h"

namespace marjoramrail::ctl {

/// The objects of \p Paths in the order of writing: zones, services, drains.
/// Tells every fault of every file and returns nothing if there is one.
std::optional<std::vector<resource_object>>
readObjectFiles(ctl_context &Context, const std::vector<std::string> &Paths);

object_key keyOf(const resource_object &Object);

/// Checks \p Objects against each other and against what stands: numbers and
/// addresses of services, and that their zones are there. Tells every fault.
bool checkTogether(ctl_context &Context,
                   const std::vector<resource_object> &Objects,
                   const std::vector<platform_object> &StandingServices,
                   const std::vector<platform_object> &StandingZones);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_OBJECT_FILES_H
