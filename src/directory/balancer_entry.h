//===- balancer_entry.h - A balancer's entry in the store -------*- C++ -*-===//

#ifndef MARJORAMRAIL_DIRECTORY_BALANCER_ENTRY_H
#define MARJORAMRAIL_DIRECTORY_BALANCER_ENTRY_H

#include "marjoramrail/directory.h"

#include <optional>

namespace marjoramrail::internal {

/// Prefixes and names of marjoramrail's own objects in the store.
inline constexpr const char *TargetPrefix = "target.";
inline constexpr const char *BalancerPrefix = "balancer.";
inline constexpr const char *RecordName = "routes";

/// By these entries balancers find each other.
struct balancer_entry {
  /// The address at which peers reach the balancer.
  endpoint Self;
  std::string Zone;

  bool operator==(const balancer_entry &) const = default;
};

std::string encodeBalancer(const balancer_entry &Entry);
/// Returns nothing if \p Object is not the entry of a balancer. An entry
/// without a zone has the zone "".
std::optional<balancer_entry> decodeBalancer(const platform_object &Object);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_BALANCER_ENTRY_H
