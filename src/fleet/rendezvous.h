//===- rendezvous.h - Picks that all nodes agree on -------------*- C++ -*-===//
///
/// \file
/// Rendezvous hashing over names: whoever knows the same names picks the same
/// few, and when one leaves only its own share moves.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_RENDEZVOUS_H
#define MARJORAMRAIL_FLEET_RENDEZVOUS_H

#include "marjoramrail/fleet.h"

namespace marjoramrail::internal {

std::uint64_t hashOfName(std::string_view Name, std::uint64_t Seed = 0);

/// Positions in \p Balancers of the \p Count that rank highest for \p Key.
std::vector<std::size_t> pick(std::string_view Key,
                              const std::vector<balancer_info> &Balancers,
                              std::size_t Count);

/// The shard whose holder writes a service's membership.
std::uint32_t shardOf(std::string_view Service, std::uint32_t Shards);

/// Periods between two announcements to a balancer that is not the first of a
/// host's: three heartbeats a second to 12,000 nodes from 130,000 hosts would
/// take all of a node's byte budget, and the others only have to answer for the
/// first when it is cut off or has died.
inline constexpr int PeriodsPerSecondary = 3;

/// A short digest of the endpoints that an agent announces to, in order.
std::uint32_t hashOfEndpoints(const std::vector<endpoint> &Endpoints);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_RENDEZVOUS_H
