//===- object_files.h - Files of objects that verbs read --------*- C++ -*-===//
///
/// \file
/// Reads and checks all files of a command before anything is written.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_MARJORAMCTL_OBJECT_FILES_H
#define MARJORAMRAIL_DAEMONS_MARJORAMCTL_OBJECT_FILES_H

#include "verb.h"

namespace marjoramrail::ctl {

/// Returns the objects of \p Paths in the order of writing: zones, services,
/// drains. Prints every fault of every file and returns nothing if there is
/// one.
std::optional<std::vector<resource_object>>
readObjectFiles(ctl_context &Context, const std::vector<std::string> &Paths);

object_key keyOf(const resource_object &Object);

/// Checks \p Objects against each other and against the stored objects: numbers
/// and addresses of services must be unique, and their zones must exist. Prints
/// every fault.
bool checkTogether(ctl_context &Context,
                   const std::vector<resource_object> &Objects,
                   const std::vector<platform_object> &StoredServices,
                   const std::vector<platform_object> &StoredZones);

} // namespace marjoramrail::ctl

#endif // MARJORAMRAIL_DAEMONS_MARJORAMCTL_OBJECT_FILES_H
