//===- fleet.h - Who is there, and what is in force -------------*- C++ -*-===//
///
/// \file
/// The state that the whole fleet has to agree on. Agents announce themselves
/// to a few balancers; balancers hold duties as leases in the platform, write
/// the membership of services there and spread it among each other; every
/// balancer and the agents of a service learn its view. Cores only: time comes
/// from the timer_service, datagrams leave through a hook.
///
/// Fleet messages are datagrams of at most MaxFleetDatagram bytes. They may
/// share a socket with routed packets: isFleetMessage() tells them apart.
///
/// Usage, in an agent (the socket is the one bound to routed_listen):
/// \code
///   announcer Announcer(Loop.timers(),
///                       {.Host = "ledger-1", .Service = "ledger",
///                        .Zone = "brugge", .Agent = RoutedListen,
///                        .Relay = RelayListen, .Seeds = Balancers,
///                        .Slots = 4, .Incarnation = Incarnation},
///                       {.Send = [&](const endpoint &To, auto Bytes) {
///                          Socket.send(To, Bytes); },
///                        .Describe = [&] { return describe(Core); },
///                        .OnView = [&](const membership &Members) {
///                          Core.takeView(Members.View); },
///                        .OnDeclaredDead = [&](std::uint32_t Incarnation) {
///                          Core.forgetFlows(Incarnation); }});
///   // for each datagram:
///   if (isFleetMessage(Bytes)) { Announcer.input(From, Bytes); return; }
///   // after a batch of timers: Socket.flush()
///   // on SIGTERM: Describe says Draining; Announcer.sendNow();
/// \endcode
///
/// Usage, in a balancer (UDP socket bound to control_listen):
/// \code
///   fleet_node Node(Loop.timers(), Platform.api(),
///                   {.Name = "balancer-1", .Zone = "brugge",
///                    .Control = ControlListen, .Seeds = Balancers},
///                   {.Send = ..., .OnView = [&](const membership &Members) {
///                      Core.takeView(Members.View); },
///                    .WallClockMs = ...});
///   Node.input(From, Bytes);             // each datagram of control_listen
///   Node.stop();                         // SIGTERM: give the duties back
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

/// No datagram of the fleet is longer: it must pass a path of usual MTU whole,
/// since a lost fragment would lose it all.
inline constexpr std::size_t MaxFleetDatagram = 1400;

/// True if \p Bytes starts as a fleet message does; routed packets never do.
bool isFleetMessage(fleet_bytes Bytes);

using fleet_send = std::function<void(const endpoint &To, fleet_bytes Bytes)>;

//===----------------------------------------------------------------------===//
// Membership
//===----------------------------------------------------------------------===//

/// What the fleet knows of a target beyond what routing needs.
struct target_info {
  std::string Host = {};
  /// Where its agent takes relayed requests (TCP).
  endpoint Relay = {};
  /// Requests that the target runs at a time.
  std::uint32_t Slots = 0;
  /// The agent itself wishes to take no new work.
  bool DrainRequested = false;

  bool operator==(const target_info &) const = default;
};

/// The view of one service with the names behind it. The platform keeps it as
/// the object `membership/SERVICE`.
struct membership {
  service_view View;
  /// In the order of View.Targets.
  std::vector<target_info> Info;
  /// The term of the lease under which it was written. It only grows: a new
  /// holder raises it before anything else, so that a late write of the former
  /// holder meets another version and fails.
  std::uint64_t Term = 0;
  /// The platform version of the service's spec that this carries out.
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
  /// The name of the target host; it outlives restarts.
  std::string Host;
  std::string Service;
  std::string Zone;
  /// Where the agent takes routed packets; announcements leave from there.
  endpoint Agent = {};
  endpoint Relay = {};
  /// Balancers' control endpoints to begin with.
  std::vector<endpoint> Seeds = {};
  std::uint32_t Slots = 1;
  /// Must be larger after each restart; seconds since 1970 will do.
  std::uint32_t Incarnation = 1;
  duration Period = std::chrono::seconds(1);
  /// Balancers that it announces to: one may be cut from it and one may just
  /// have died, and the host is still heard.
  std::size_t Fanout = 3;
};

/// What an agent says of itself in each announcement.
struct agent_report {
  /// The wish to take no new work.
  bool Draining = false;
  std::uint32_t Flows = 0;
  /// Requests that are running.
  std::uint32_t Busy = 0;
  /// The oldest generation that one of its flows needs; all older ones may be
  /// dropped as far as it goes.
  std::uint64_t OldestGeneration = 0;
  /// The version of the view that it has in force.
  std::uint64_t ViewVersion = 0;
};

struct heartbeat_hooks {
  fleet_send Send = nullptr;
  std::function<agent_report()> Describe = nullptr;
  /// A newer view of its service. Versions only grow.
  std::function<void(const membership &)> OnView = nullptr;
  /// The fleet held this agent for dead (it was frozen or cut off): its flows
  /// have been given up, others may have answered for it. It goes on under the
  /// new incarnation and must forget all flows of the former.
  std::function<void(std::uint32_t Incarnation)> OnDeclaredDead = nullptr;
};

/// Announces one agent to a few balancers and receives its service's view.
class heartbeat_sender {
public:
  heartbeat_sender(timer_service &Timers, heartbeat_settings Settings,
                   heartbeat_hooks Hooks);
  ~heartbeat_sender();
  heartbeat_sender(const heartbeat_sender &) = delete;
  heartbeat_sender &operator=(const heartbeat_sender &) = delete;

  /// A fleet message that came to the agent's socket.
  void input(const endpoint &From, fleet_bytes Bytes);

  /// Announces without waiting for the period, e.g. when draining begins.
  void sendNow();

  std::uint32_t incarnation() const;
  /// When a balancer last answered; lets an agent judge whether it is cut off.
  std::optional<instant> lastHeard() const;
  /// Messages that could not be read.
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
  /// control_listen, as others reach it.
  endpoint Control = {};
  std::vector<endpoint> Seeds = {};
  /// Duties: services are spread over this many leases. The same everywhere.
  std::uint32_t Shards = 8;
  /// Makes the random choices (peers to talk to) repeatable.
  std::uint64_t Seed = 1;
  /// Larger after each restart, as for agents.
  std::uint32_t Incarnation = 1;
  /// A duty whose lease was not renewed for this long is taken over. Longer
  /// than a usual pause of a VM, or duties would wander at each of them.
  duration Lease = std::chrono::seconds(6);
  /// Between two messages to random peers.
  duration GossipPeriod = std::chrono::seconds(1);
  /// A host that is silent for this long is asked, three times: two
  /// announcements were lost, or it is dead.
  duration SilenceTimeout = std::chrono::milliseconds(2200);
  /// Bytes a second that this node sends for control at most; bursts of up to
  /// four seconds' worth are allowed.
  std::uint32_t BytesPerSecond = 4096;
};

/// Another balancer, as this node knows it.
struct balancer_info {
  std::string Name;
  std::string Zone;
  endpoint Control = {};
  std::uint32_t Incarnation = 0;

  bool operator==(const balancer_info &) const = default;
};

struct fleet_hooks {
  fleet_send Send = nullptr;
  /// A newer view of any service. Versions only grow.
  std::function<void(const membership &)> OnView = nullptr;
  /// The balancers held for alive, this one among them, in order of name.
  std::function<void(const std::vector<balancer_info> &)> OnBalancers = nullptr;
  /// Wall clock for status conditions.
  std::function<std::int64_t()> WallClockMs = nullptr;
  /// One short sentence per decision, for the log and the time line.
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
  /// Bytes count with their IPv4 and UDP headers.
  std::array<std::uint64_t, FleetMessageNames.size()> BytesByKind{};
  std::uint64_t DatagramsSent = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t DatagramsReceived = 0;
  std::uint64_t BytesReceived = 0;
  /// Datagrams that could not be read.
  std::uint64_t DecodeErrors = 0;
  /// Messages put off because the byte budget was spent.
  std::uint64_t Deferred = 0;
  std::uint64_t PlatformCalls = 0;
  std::uint64_t PlatformWrites = 0;
  /// Conditional writes that met another version: someone else's won.
  std::uint64_t WritesFenced = 0;
  /// Times that a write's lost answer was resolved by reading back.
  std::uint64_t WritesResolved = 0;
  std::uint64_t HostsDeclaredDead = 0;
  /// Older states that the platform or a peer offered and that were ignored.
  std::uint64_t StaleIgnored = 0;
};

/// Tells operators how far a drain has come, as the object drain-status/HOST.
/// Written by the host's own agent, which alone knows what it still holds, and
/// only while it drains: each write is one of the platform's few hundred.
class drain_reporter {
public:
  /// \p Describe: nothing while the host is not draining.
  using describe = std::function<std::optional<drain_status>()>;

  static constexpr duration Period = std::chrono::seconds(1);

  drain_reporter(timer_service &Timers, platform_api Platform, std::string Host,
                 describe Describe);
  ~drain_reporter();
  drain_reporter(const drain_reporter &) = delete;
  drain_reporter &operator=(const drain_reporter &) = delete;

  /// Looks now instead of at the next period.
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
  /// What the platform holds, as far as it is known.
  std::optional<drain_status> Written;
  std::uint64_t Version = 0;
  std::uint64_t Sequence = 0;
  bool VersionKnown = false;
  bool Cleared = false;
  bool Busy = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

/// A balancer's part in the fleet.
class fleet_node {
public:
  fleet_node(timer_service &Timers, platform_api Platform,
             fleet_settings Settings, fleet_hooks Hooks);
  ~fleet_node();
  fleet_node(const fleet_node &) = delete;
  fleet_node &operator=(const fleet_node &) = delete;

  /// A datagram that came to control_listen.
  void input(const endpoint &From, fleet_bytes Bytes);

  /// Graceful shutdown: gives the duties back, so that others take them at
  /// once instead of after the lease, and tells the peers.
  void stop();

  /// The newest view of a service, if any.
  const membership *find(const std::string &Service) const;
  std::vector<std::string> services() const;
  std::vector<balancer_info> balancers() const;
  /// Shards whose lease this node holds now.
  std::vector<std::uint32_t> heldShards() const;
  /// True once a peer or the platform has told it the fleet's state.
  bool ready() const;
  /// When anything of the fleet was last heard, for routed_flag::Stale.
  std::optional<instant> lastHeard() const;
  const fleet_counters &counters() const;
  /// What it knows, as JSON for a status page.
  std::string statusJson() const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FLEET_H
