//===- rendezvous.h - Rendezvous hashing over names -------------*- C++ -*-===//
///
/// \file
/// Rendezvous hashing over names: all nodes that know the same names make the
/// same choice, and when a name is removed only its own share moves.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_RENDEZVOUS_H
#define MARJORAMRAIL_FLEET_RENDEZVOUS_H

#include "marjoramrail/fleet.h"

namespace marjoramrail::internal {

std::uint64_t hashOfName(std::string_view Name, std::uint64_t Seed = 0);

/// Returns the positions in \p Balancers of the \p Count that rank highest for
/// \p Key.
std::vector<std::size_t> pick(std::string_view Key,
                              const std::vector<balancer_info> &Balancers,
                              std::size_t Count);

/// Returns the shard whose lease holder writes a service's membership.
std::uint32_t shardOf(std::string_view Service, std::uint32_t Shards);

/// A host sends heartbeats to its first balancer every period and to the others
/// only once in this many periods. With three heartbeats a second from each of
/// 130,000 hosts, 12,000 nodes would spend all of their byte budget, and the
/// others are only needed when the first is cut off or has died.
inline constexpr int PeriodsPerSecondary = 3;

/// A short digest of the endpoints that an agent sends heartbeats to, in order.
std::uint32_t hashOfEndpoints(const std::vector<endpoint> &Endpoints);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_RENDEZVOUS_H
