//===- fleet.h - Membership and views of the fleet --------------*- C++ -*-===//
///
/// \file
/// The state that the whole fleet has to agree on. Agents send heartbeats to a
/// few balancers. Balancers hold shard leases in the platform; the lease holder
/// of a shard writes the membership of its services to the platform and spreads
/// it to the other balancers. Every balancer learns all views, and the agents
/// of a service learn its view. These classes do no I/O: time comes from the
/// timer_service, datagrams are sent through a hook.
///
/// Fleet messages are datagrams of at most MaxFleetDatagram bytes. They may
/// share a socket with routed packets; isFleetMessage() distinguishes them.
///
/// Usage, in an agent (the socket is the one bound to routed_listen):
/// \code
///   heartbeat_sender Heartbeats(
///       Loop.timers(),
///       {.Host = "ledger-1", .Service = "ledger", .Zone = "brugge",
///        .Agent = RoutedListen, .Relay = RelayListen, .Seeds = Balancers,
///        .Slots = 4, .Incarnation = Incarnation},
///       {.Send = [&](const endpoint &To, auto Bytes) {
///          Socket.send(To, Bytes); },
///        .Describe = [&] { return describe(Core); },
///        .OnView = [&](const membership &Members) {
///          Core.applyView(Members.View); },
///        .OnDeclaredDead = [&](std::uint32_t Incarnation) {
///          Core.restart(Incarnation); }});
///   // for each datagram:
///   if (isFleetMessage(Bytes)) { Heartbeats.input(From, Bytes); return; }
///   // after a batch of timers: Socket.flush()
///   // on SIGTERM: Describe returns Draining; Heartbeats.sendNow();
/// \endcode
///
/// Usage, in a balancer (UDP socket bound to control_listen):
/// \code
///   fleet_node Node(Loop.timers(), Platform.api(),
///                   {.Name = "balancer-1", .Zone = "brugge",
///                    .Control = ControlListen, .Seeds = Balancers},
///                   {.Send = ..., .OnView = [&](const membership &Members) {
///                      Core.applyView(Members.View); },
///                    .WallClockMs = ...});
///   Node.input(From, Bytes);             // each datagram of control_listen
///   Node.stop();                         // SIGTERM: release the leases
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_H
#define MARJORAMRAIL_FLEET_H

#include "marjoramrail/platform.h"
#include "marjoramrail/resource.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace marjoramrail {

//===----------------------------------------------------------------------===//
// Messages
//===----------------------------------------------------------------------===//

using fleet_bytes = std::span<const std::uint8_t>;

/// Upper bound of a datagram, so that it fits a path with the usual MTU without
/// fragmentation: one lost fragment would lose the whole datagram.
inline constexpr std::size_t MaxFleetDatagram = 1400;

/// True if \p Bytes starts like a fleet message; routed packets never do.
bool isFleetMessage(fleet_bytes Bytes);

using fleet_send = std::function<void(const endpoint &To, fleet_bytes Bytes)>;

//===----------------------------------------------------------------------===//
// Membership
//===----------------------------------------------------------------------===//

/// Data on a target that is not needed for routing.
struct target_info {
  std::string Host = {};
  /// Where the target's agent accepts relayed requests (TCP).
  endpoint Relay = {};
  /// Requests that the target runs concurrently.
  std::uint32_t Slots = 0;
  /// The agent itself requested to get no new work.
  bool DrainRequested = false;

  bool operator==(const target_info &) const = default;
};

/// The view of one service with the names of its hosts. The platform stores it
/// as the object `membership/SERVICE`.
struct membership {
  service_view View;
  /// In the order of View.Targets.
  std::vector<target_info> Info;
  /// The term of the lease under which it was written. It only grows: a new
  /// lease holder raises it before any other write, so that a late write of the
  /// previous holder meets another version and fails.
  std::uint64_t Term = 0;
  /// The platform version of the service's spec that this membership
  /// implements.
  std::uint64_t SpecVersion = 0;

  bool operator==(const membership &) const = default;
};

/// Returns the position in View.Targets of the agent that listens on \p Agent.
std::optional<std::size_t> findTarget(const membership &Members,
                                      const endpoint &Agent);

//===----------------------------------------------------------------------===//
// The agent's side
//===----------------------------------------------------------------------===//

struct heartbeat_settings {
  /// The name of the target host; unchanged by restarts.
  std::string Host;
  std::string Service;
  std::string Zone;
  /// Where the agent receives routed packets; heartbeats are sent from it.
  endpoint Agent = {};
  endpoint Relay = {};
  /// Control endpoints of the balancers to contact first.
  std::vector<endpoint> Seeds = {};
  std::uint32_t Slots = 1;
  /// Should be larger after each restart: seconds since 1970. If it is not,
  /// because the time of day was stepped back, the agent continues above the
  /// incarnation that the view names.
  std::uint32_t Incarnation = 1;
  duration Period = std::chrono::seconds(1);
  /// Number of balancers that receive heartbeats. With three, the host stays
  /// known when one of them is cut off from it and another has just died.
  std::size_t Fanout = 3;
};

/// State of an agent, sent in each heartbeat.
struct agent_report {
  /// The agent requests to get no new work.
  bool Draining = false;
  std::uint32_t Flows = 0;
  /// Number of running requests.
  std::uint32_t Busy = 0;
  /// The oldest generation that one of the agent's flows needs; this agent
  /// needs none of the older ones.
  std::uint64_t OldestGeneration = 0;
  /// The version of the view that the agent has applied.
  std::uint64_t ViewVersion = 0;
};

struct heartbeat_hooks {
  fleet_send Send = nullptr;
  std::function<agent_report()> Describe = nullptr;
  /// Called with a newer view of the agent's service. Versions only grow.
  std::function<void(const membership &)> OnView = nullptr;
  /// Called when the fleet declared this agent dead while it was frozen or cut
  /// off, or knows a higher incarnation of an earlier process. Its flows were
  /// given up and other targets may have answered for it, so the agent
  /// continues under the new incarnation and must drop all flows of the
  /// previous one.
  std::function<void(std::uint32_t Incarnation)> OnDeclaredDead = nullptr;
};

/// Sends the heartbeats of one agent to a few balancers and receives the view
/// of its service.
class heartbeat_sender {
public:
  heartbeat_sender(timer_service &Timers, heartbeat_settings Settings,
                   heartbeat_hooks Hooks);
  ~heartbeat_sender();
  heartbeat_sender(const heartbeat_sender &) = delete;
  heartbeat_sender &operator=(const heartbeat_sender &) = delete;

  /// Handles a fleet message received on the agent's socket.
  void input(const endpoint &From, fleet_bytes Bytes);

  /// Sends a heartbeat at once, without waiting for the period, e.g. when
  /// draining begins.
  void sendNow();

  std::uint32_t incarnation() const;
  /// When a balancer last replied; lets an agent detect that it is cut off.
  std::optional<instant> lastReceived() const;
  /// Number of messages that could not be decoded.
  std::uint64_t decodeErrors() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===----------------------------------------------------------------------===//
// The balancer's side
//===----------------------------------------------------------------------===//

struct fleet_settings {
  /// The balancer's name, unique in the fleet.
  std::string Name;
  std::string Zone;
  /// The address of control_listen as other processes reach it.
  endpoint Control = {};
  std::vector<endpoint> Seeds = {};
  /// Services are spread over this many shards, each with a lease of its own.
  /// The lease holder of a shard writes the membership of its services. Must be
  /// the same on all balancers.
  std::uint32_t Shards = 8;
  /// Makes random choices, such as which peers to contact, repeatable.
  std::uint64_t Seed = 1;
  /// Should be larger after each restart, as for agents. A balancer whose
  /// number is lower is known by its own messages; if an earlier process was
  /// declared dead, it refutes that with a higher number.
  std::uint32_t Incarnation = 1;
  /// A shard whose lease was not renewed for this long is taken over. Longer
  /// than a usual pause of a VM, so that shards don't move at each pause.
  duration Lease = std::chrono::seconds(6);
  /// Interval between two messages to random peers.
  duration GossipPeriod = std::chrono::seconds(1);
  /// A host that sent no heartbeat for this long is pinged three times: either
  /// two heartbeats were lost or the host is dead.
  duration HeartbeatTimeout = std::chrono::milliseconds(2200);
  /// Upper bound of the bytes per second that this node sends for control;
  /// bursts of up to four seconds' worth are allowed.
  std::uint32_t BytesPerSecond = 4096;
};

/// Another balancer as this node knows it.
struct balancer_info {
  std::string Name;
  std::string Zone;
  endpoint Control = {};
  std::uint32_t Incarnation = 0;

  bool operator==(const balancer_info &) const = default;
};

struct fleet_hooks {
  fleet_send Send = nullptr;
  /// Called with a newer view of any service. Versions only grow.
  std::function<void(const membership &)> OnView = nullptr;
  /// Called with the balancers considered alive, including this one, ordered by
  /// name.
  std::function<void(const std::vector<balancer_info> &)> OnBalancers = nullptr;
  /// Wall clock for status conditions.
  std::function<std::int64_t()> WallClockMs = nullptr;
  /// Receives one short sentence per decision, for the log and the timeline.
  std::function<void(const std::string &)> Note = nullptr;
};

/// The kinds of fleet messages, for accounting.
enum class fleet_message {
  HostHeartbeat,
  Assignment,
  HostPing,
  ViewFull,
  PeerHeartbeat,
  BucketDigests,
  BucketVersions,
  ViewRequest,
  ViewDelta,
  HostReport,
  ProbeRequest,
  AppliedReport,
  AppliedAck,
  GossipUpdate,
};

inline constexpr name_table<fleet_message, 14> FleetMessageNames = {{
    {fleet_message::HostHeartbeat, "announcement"},
    {fleet_message::Assignment, "assignment"},
    {fleet_message::HostPing, "host_ping"},
    {fleet_message::ViewFull, "view_full"},
    {fleet_message::PeerHeartbeat, "beat"},
    {fleet_message::BucketDigests, "bucket_digests"},
    {fleet_message::BucketVersions, "bucket_versions"},
    {fleet_message::ViewRequest, "view_request"},
    {fleet_message::ViewDelta, "view_delta"},
    {fleet_message::HostReport, "host_report"},
    {fleet_message::ProbeRequest, "probe_request"},
    {fleet_message::AppliedReport, "force_report"},
    {fleet_message::AppliedAck, "force_ack"},
    {fleet_message::GossipUpdate, "news"},
}};

struct fleet_counters {
  /// Bytes, including IPv4 and UDP headers.
  std::array<std::uint64_t, FleetMessageNames.size()> BytesByKind{};
  std::uint64_t DatagramsSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t DatagramsReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Datagrams that could not be decoded.
  std::uint64_t DecodeErrors = 0;
  /// Messages deferred because the byte budget was spent.
  std::uint64_t Deferred = 0;
  std::uint64_t PlatformCalls = 0;
  std::uint64_t PlatformWrites = 0;
  /// Conditional writes that failed because another writer's version was
  /// stored.
  std::uint64_t WritesFenced = 0;
  /// Writes whose lost answer was resolved by reading the object back.
  std::uint64_t WritesResolved = 0;
  std::uint64_t HostsDeclaredDead = 0;
  /// Older states offered by the platform or a peer and ignored.
  std::uint64_t StaleIgnored = 0;
};

/// Publishes the progress of a drain for operators as the object
/// drain-status/HOST. The host's own agent writes it, since only that knows
/// what the host still holds, and only while the host drains, since the
/// platform allows only a few hundred writes a second.
class drain_reporter {
public:
  /// \p Describe returns nothing while the host is not draining.
  using describe = std::function<std::optional<drain_status>()>;

  static constexpr duration Period = std::chrono::seconds(1);

  drain_reporter(timer_service &Timers, platform_api Platform, std::string Host,
                 describe Describe);
  ~drain_reporter();
  drain_reporter(const drain_reporter &) = delete;
  drain_reporter &operator=(const drain_reporter &) = delete;

  /// Checks the status now instead of at the next period.
  void checkNow();

private:
  void read(std::function<void(const platform_reply &)> Then);
  void write(const drain_status &Status);
  void clear();

  timer_service &Timers;
  platform_api Platform;
  std::string Host;
  describe Describe;
  timer_id Ticker;
  /// The status stored in the platform, if known.
  std::optional<drain_status> Written;
  std::uint64_t Version = 0;
  std::uint64_t Sequence = 0;
  bool VersionKnown = false;
  bool Cleared = false;
  bool Busy = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// A balancer's membership in the fleet.
class fleet_node {
public:
  fleet_node(timer_service &Timers, platform_api Platform,
             fleet_settings Settings, fleet_hooks Hooks);
  ~fleet_node();
  fleet_node(const fleet_node &) = delete;
  fleet_node &operator=(const fleet_node &) = delete;

  /// Handles a datagram received on control_listen.
  void input(const endpoint &From, fleet_bytes Bytes);

  /// Graceful shutdown: releases the shard leases, so that other balancers take
  /// them at once instead of after they expire, and notifies peers.
  void stop();

  /// Returns the newest view of a service, or null.
  const membership *find(const std::string &Service) const;
  std::vector<std::string> services() const;
  std::vector<balancer_info> balancers() const;
  /// Shards whose lease this node holds now.
  std::vector<std::uint32_t> heldShards() const;
  /// True once a peer or the platform has provided the state of the fleet.
  bool ready() const;
  /// When a fleet message was last received, for routed_flag::Stale.
  std::optional<instant> lastReceived() const;
  const fleet_counters &counters() const;
  /// The node's state as JSON for a status page.
  std::string statusJson() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FLEET_H
