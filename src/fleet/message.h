//===- message.h - What the fleet's processes tell each other ---*- C++ -*-===//
///
/// \file
/// The typed messages between agents and balancers and among balancers, and
/// their CBOR form: an array, the kind first. Arrays instead of maps keep an
/// announcement under 200 bytes; 130,000 hosts send them all day.
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
  /// Which balancers the agent announces to, so that a balancer answers with
  /// the right ones only when they differ.
  std::uint32_t AssignedHash = 0;
};

/// Balancer to agent: heard you. Balancers is empty if the agent's are right.
struct assignment {
  std::vector<endpoint> Balancers;
};

/// Balancer to agent: are you there? Answered by an announcement.
struct host_ping {};

/// A view, from balancer to agent or balancer to balancer.
struct view_full {
  membership Members;
};

/// How a peer stands, as gossip tells it.
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

/// Who holds a shard's lease.
struct shard_lease_update {
  std::uint32_t Shard = 0;
  std::uint64_t Term = 0;
  std::string Holder;
  endpoint Control;
};

/// Balancer to balancer, to a random peer each period: I am here, this is
/// news, and this is the digest of all that I have.
struct peer_heartbeat {
  balancer_info From;
  bool WantsAnswer = false;
  std::uint64_t ViewsDigest = 0;
  std::uint64_t PeersDigest = 0;
  std::vector<peer_update> Peers;
  std::vector<view_version> Views;
  std::vector<shard_lease_update> ShardLeases;
};

/// The digests of all buckets of views, when the whole differs.
struct bucket_digests {
  std::vector<std::uint64_t> Digests;
};

/// The versions in some buckets, so that the receiver sees what it lacks.
struct bucket_versions {
  std::vector<std::uint32_t> Buckets;
  std::vector<view_version> Views;
};

/// Please send these views; the version is the one that the asker has.
struct view_request {
  std::vector<view_version> Have;
};

/// Only what changed between two versions.
struct view_delta {
  std::uint64_t Base = 0;
  /// Of the new version; Targets and Generations hold only what is new.
  membership Changed;
  std::vector<std::uint32_t> RemovedHosts;
  std::vector<std::uint64_t> RemovedGenerations;
};

/// Why a balancer writes to the holder of a service's shard.
enum class report_kind {
  /// The announcement differs from what the view says of the host.
  Differs,
  /// The host has been silent and did not answer.
  NotResponding,
  /// The oldest generation that the host needs.
  Needs,
};

/// Balancer to holder: what it heard of a host. Repeated until the view
/// says the same, so that a new holder needs no handover.
struct host_report {
  report_kind Kind = report_kind::Differs;
  std::string From;
  host_heartbeat Heartbeat;
};

/// Holder to a balancer: ask this host yourself and report.
struct probe_request {
  std::string Service;
  std::string Host;
  endpoint Agent;
  std::uint32_t Incarnation = 0;
};

/// On how many nodes of a subtree a view is in force.
struct applied_entry {
  std::string Service;
  std::uint64_t Version = 0;
  std::uint32_t Nodes = 0;
  /// XOR of the hashes of their names: the holder compares it with its own
  /// list, so a node counted twice or missing never passes for all.
  std::uint64_t NamesDigest = 0;
  std::vector<std::string> Lagging;

  bool operator==(const applied_entry &) const = default;
};

/// Up the tree to a holder; several services at a time.
struct applied_report {
  std::string From;
  std::uint32_t Number = 0;
  std::vector<applied_entry> Entries;
};

/// The report with this number has come.
struct applied_ack {
  std::uint32_t Number = 0;
};

/// What a beat says, without the sign of life: to spread what is new.
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
