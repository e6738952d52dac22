//===- site_snapshot.h - All objects of a site in one -----------*- C++ -*-===//
///
/// \file
/// The objects of the configuration and of marjoramrail's own kind, as one
/// balancer knew them, in one short object of the store. A balancer that starts
/// reads it in place of both lists and gets what has changed since from its
/// peers.
///
/// With hundreds of VMs the lists have hundreds of kilobytes. When all
/// balancers are restarted at once, the store would send tens of megabytes, and
/// none of them could forward packets meanwhile.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_SITE_SNAPSHOT_H
#define MARJORAMRAIL_DIRECTORY_SITE_SNAPSHOT_H

#include "marjoramrail/directory.h"

#include <vector>

namespace marjoramrail::internal {

/// The objects of one kind, complete up to a version of the store.
struct kind_snapshot {
  std::uint64_t Version = 0;
  std::vector<platform_object> Objects;
};

struct site_snapshot {
  kind_snapshot Routes;
  kind_snapshot Site;
};

/// Entries of targets and balancers are encoded by their fields, which takes a
/// fifth of their size in a list; all other objects are encoded as they are.
std::string encodeSnapshot(const site_snapshot &Snapshot);

/// The kinds of the decoded objects are \p RoutesKind and \p SiteKind. Fails
/// with step::ValidateObject.
result<site_snapshot> decodeSnapshot(const platform_object &Object,
                                     const std::string &RoutesKind,
                                     const std::string &SiteKind);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_SITE_SNAPSHOT_H
