//===- message.h - Messages of the fleet protocol ---------------*- C++ -*-===//
///
/// \file
/// The typed messages between agents and balancers and among balancers, and
/// their CBOR encoding: an array whose first element is the message kind.
/// Arrays instead of maps keep a heartbeat under 200 bytes; 130,000 hosts send
/// heartbeats continuously.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_MESSAGE_H
#define MARJORAMRAIL_FLEET_MESSAGE_H

#include "marjoramrail/fleet.h"

#include <variant>

namespace marjoramrail::internal {

/// Agent to balancer: the heartbeat of a target host.
struct host_heartbeat {
  std::string Service;
  std::string Host;
  std::string Zone;
  endpoint Agent;
  endpoint Relay;
  std::uint32_t Incarnation = 0;
  std::uint32_t Slots = 0;
  agent_report Report;
  /// Hash of the balancers that the agent sends heartbeats to. A balancer
  /// replies with the full list only if the hash differs from its own.
  std::uint32_t AssignedHash = 0;
};

/// Balancer to agent: acknowledges a heartbeat. Balancers is empty if the agent
/// already uses the right ones.
struct assignment {
  std::vector<endpoint> Balancers;
};

/// Balancer to agent: requests an immediate heartbeat.
struct host_ping {};

/// A full view, from balancer to agent or balancer to balancer.
struct view_full {
  membership Members;
};

/// State of a peer as spread by gossip.
enum class peer_state { Alive, Suspect, Dead };

struct peer_update {
  balancer_info Info;
  peer_state State = peer_state::Alive;
};

/// Which version of a service's view the sender has.
struct view_version {
  std::string Service;
  std::uint64_t Version = 0;
};

/// The current lease holder of a shard.
struct shard_lease_update {
  std::uint32_t Shard = 0;
  std::uint64_t Term = 0;
  std::string Holder;
  endpoint Control;
};

/// Balancer to balancer, to a random peer each period: shows that the sender is
/// alive, and carries recent updates and the digests of the sender's views and
/// peers.
struct peer_heartbeat {
  balancer_info From;
  bool WantsAnswer = false;
  std::uint64_t ViewsDigest = 0;
  std::uint64_t PeersDigest = 0;
  std::vector<peer_update> Peers;
  std::vector<view_version> Views;
  std::vector<shard_lease_update> ShardLeases;
};

/// The digests of all buckets of views; sent when the overall digest differs.
struct bucket_digests {
  std::vector<std::uint64_t> Digests;
};

/// The versions in some buckets, so that the receiver sees which it lacks.
struct bucket_versions {
  std::vector<std::uint32_t> Buckets;
  std::vector<view_version> Views;
};

/// Requests views; each entry holds the version that the requester has.
struct view_request {
  std::vector<view_version> Have;
};

/// The differences between two versions of a view.
struct view_delta {
  std::uint64_t Base = 0;
  /// Fields of the new version; Targets and Generations hold only new or
  /// changed entries.
  membership Changed;
  std::vector<std::uint32_t> RemovedHosts;
  std::vector<std::uint64_t> RemovedGenerations;
};

/// Why a balancer sends a report to the lease holder of a service's shard.
enum class report_kind {
  /// The heartbeat differs from the host's entry in the view.
  Differs,
  /// The host sent no heartbeats and did not respond to pings.
  NotResponding,
  /// The oldest generation that the host needs.
  Needs,
};

/// Balancer to lease holder: the last heartbeat of a host. Repeated until the
/// view agrees with it, so that a new lease holder needs no handover.
struct host_report {
  report_kind Kind = report_kind::Differs;
  std::string From;
  host_heartbeat Heartbeat;
};

/// Lease holder to a balancer: probe this host and report the result.
struct probe_request {
  std::string Service;
  std::string Host;
  endpoint Agent;
  std::uint32_t Incarnation = 0;
};

/// On how many nodes of a subtree a view is in effect.
struct applied_entry {
  std::string Service;
  std::uint64_t Version = 0;
  std::uint32_t Nodes = 0;
  /// XOR of the hashes of the nodes' names. The lease holder compares it with
  /// its own list, so a total in which a node is counted twice or missing is
  /// not taken for complete.
  std::uint64_t NamesDigest = 0;
  std::vector<std::string> Lagging;

  bool operator==(const applied_entry &) const = default;
};

/// Sent up the tree and from its root to a lease holder; covers several
/// services.
struct applied_report {
  std::string From;
  std::uint32_t Number = 0;
  std::vector<applied_entry> Entries;
};

/// Acknowledges the report with this number.
struct applied_ack {
  std::uint32_t Number = 0;
};

/// The updates of a peer heartbeat without its liveness fields; sent as soon as
/// something changes.
struct gossip_update {
  std::vector<peer_update> Peers;
  std::vector<view_version> Views;
  std::vector<shard_lease_update> ShardLeases;
};

using message =
    std::variant<host_heartbeat, assignment, host_ping, view_full,
                 peer_heartbeat, bucket_digests, bucket_versions, view_request,
                 view_delta, host_report, probe_request, applied_report,
                 applied_ack, gossip_update>;

static_assert(std::variant_size_v<message> == FleetMessageNames.size());

std::vector<std::uint8_t> encode(const message &Message);

/// Fails with step::DecodeMessage.
result<message> decode(fleet_bytes Bytes);

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_MESSAGE_H
