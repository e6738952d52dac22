//===- forward.h - Packet forwarding of L4 flows ----------------*- C++ -*-===//
///
/// \file
/// Forwards the packets of TCP flows to targets that terminate the flows
/// themselves. Contains the packet-processing core of the balancer and of the
/// agent, the process beside each target that all of the target's packets pass
/// through. Both classes do no input or output: they receive packets, messages
/// and the current time as arguments and send packets and messages through
/// hooks.
///
/// Any packet of a flow may arrive at any balancer. A balancer caches where it
/// sent a flow, but correctness does not depend on the cache: every packet
/// carries a list of all agents whose target may own its flow, the most likely
/// owner first. An agent offers the packet to its target. A target that does
/// not own the flow declines the packet, and the agent passes it to the next
/// agent in the list. Only the targets decide who owns a flow, so balancers and
/// agents can be restarted at any time. Looking for a flow's owner in this way
/// is called an owner lookup.
///
/// A list holds as many agents as fit into one datagram. If a service has more,
/// the last agent returns the packet to its balancer, which sends it on with a
/// list of the next agents (routed_flag::Continues).
///
/// A packet that all agents have declined has no owner. If the balancer knew
/// that its list was complete (routed_flag::Complete), the caller gets a reset
/// immediately; without it the caller would wait until its request times out.
///
/// Usage:
/// \code
///   forward_balancer Balancer(Settings, Codec, {.SendToAgent = ...});
///   Balancer.changeRoutes(Changes, Timers.now());
///   Balancer.setTargets(Directory.targets(), Timers.now());
///   Balancer.onCallerPacket(Bytes, Timers.now());
///
///   forward_agent Agent(Settings, Codec, {.SendToTarget = ...});
///   Agent.onRouted(Bytes, Timers.now());       // from balancers and agents
///   Agent.onTargetPacket(Bytes, Timers.now()); // from the target
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_H
#define MARJORAMRAIL_FORWARD_H

#include "marjoramrail/agent_messages.h"
#include "marjoramrail/directory.h"
#include "marjoramrail/flowstore.h"
#include "marjoramrail/mechanism.h"
#include "marjoramrail/timeline.h"
#include "marjoramrail/wire.h"

#include <functional>
#include <memory>
#include <span>
#include <string>

namespace marjoramrail {

//===----------------------------------------------------------------------===//
// Packets
//===----------------------------------------------------------------------===//

/// One packet of a flow, decoded from the platform's framing.
struct segment {
  /// Flow.Caller is the packet's source, Flow.Service its destination.
  tcp_packet Head;
  /// Set by a target that returns the packet because it does not own the flow
  /// or accepts no new one.
  bool Declined = false;
  /// A number that the agent writes into the packet for its own use. A target
  /// that declines the packet returns it unchanged.
  std::uint32_t Tag = 0;
};

/// Reads and writes packets in the platform's framing.
struct segment_codec {
  /// Returns false if \p Bytes is not a valid packet.
  std::function<bool(bytes_view Bytes, segment &Segment)> Parse;
  /// Writes \p Tag into a packet that is about to be sent to the target.
  std::function<void(std::span<std::uint8_t> Packet, std::uint32_t Tag)> SetTag;
  /// Undoes the changes made to a declined packet, so that it is again as its
  /// sender wrote it.
  std::function<void(std::span<std::uint8_t> Packet)> Restore;
  /// Writes the reset that answers \p Packet and returns its size.
  std::function<std::size_t(const tcp_packet &Packet,
                            std::span<std::uint8_t> Buffer)>
      WriteReset;
};

//===----------------------------------------------------------------------===//
// Placement of new flows
//===----------------------------------------------------------------------===//

/// What a balancer knows of one target when it places a flow.
struct placement_candidate {
  bool OwnZone = false;
  /// A load report has arrived since the target was registered.
  bool Reported = true;
  /// The last load report is recent enough for its load figures to be used;
  /// otherwise it may be seconds old.
  bool Fresh = true;
  bool Admitting = true;
  /// The target does not respond, or no load report confirms the packets that
  /// were sent to it.
  bool Suspect = false;
  std::uint32_t Slots = 1;
  std::uint32_t Flows = 0;
  /// Number of flows placed at the target since its last report.
  std::uint32_t Placed = 0;
  std::uint16_t Active = 0;
  std::uint16_t Busy = 0;
  duration Latency = duration::zero();
  duration Warmup = duration::zero();
  /// Share of failures among the target's recent answers, in thousandths.
  std::uint16_t Failing = 0;
  /// Typical time that the target needs for a request, learned from its
  /// answers; zero if not known.
  duration ServiceTime = duration::zero();
};

/// Chooses a target of one service for a new flow. See placement.cpp for the
/// load patterns it handles.
class placement {
public:
  explicit placement(const mechanism_set &DisabledMechanisms = {})
      : DisabledMechanisms(DisabledMechanisms) {}

  /// \p Order holds positions in \p Targets in the flow's own order of
  /// preference. Returns a position in \p Targets, or nothing if no target
  /// accepts flows.
  std::optional<std::size_t>
  choose(const std::vector<placement_candidate> &Targets,
         const std::vector<std::size_t> &Order) const;

private:
  mechanism_set DisabledMechanisms = {};
};

//===----------------------------------------------------------------------===//
// The balancer
//===----------------------------------------------------------------------===//

/// What the balancer did with a packet from a caller.
enum class forward_outcome {
  Placed,
  Sent,
  SentFromCache,
  NoRoute,
  NoTarget,
  /// The list of owner candidates is empty, or knowledge of routes and targets
  /// is not current enough to reset the flow.
  Indeterminate,
  Malformed,
};

inline constexpr name_table<forward_outcome, 7> ForwardOutcomeNames = {{
    {forward_outcome::Placed, "placed"},
    {forward_outcome::Sent, "sent"},
    {forward_outcome::SentFromCache, "sent_by_memory"},
    {forward_outcome::NoRoute, "no_route"},
    {forward_outcome::NoTarget, "no_target"},
    {forward_outcome::Indeterminate, "unsure"},
    {forward_outcome::Malformed, "malformed"},
}};

/// One decision about a flow, for the event log.
struct flow_event {
  event_kind What{};
  std::string_view Why;
  flow_key Flow;
  /// The agent concerned, if any.
  endpoint Agent;
  /// The load figure behind the decision, and the age of the knowledge it was
  /// based on.
  double Load = 0;
  duration Age = duration::zero();
};

struct forward_balancer_settings {
  /// The address to which agents send owner notices and load reports.
  endpoint Self;
  std::string Zone;
  /// Maximum number of cached flows. Each takes 32 bytes, allocated on demand.
  std::size_t MaxFlows = 200'000;
  /// Maximum lifetime of a flow.
  duration FlowLife = std::chrono::minutes(1);
  /// Mechanisms that are disabled for an experiment.
  mechanism_set DisabledMechanisms = {};
  /// The region of each zone, for routes that are restricted to regions.
  zone_regions Regions = {};
  /// Packets state the service level of their route. Requires that all agents
  /// can read it, see routed_packet::Level.
  bool StatesLevels = false;
};

struct forward_balancer_hooks {
  std::function<void(const endpoint &Agent, bytes_view)> SendToAgent;
  /// Sends a packet to a caller, with the route's own address as the source.
  std::function<void(const endpoint &Caller, bytes_view)> SendToCaller;
  std::function<void(const flow_event &)> OnEvent;
  /// Returns the logical clock of the event log, which the first packet of a
  /// new flow carries. May be empty.
  std::function<std::uint64_t()> Clock;
  /// Called when an agent of the own zone has not responded for \p
  /// UnresponsiveFor, long enough for every flow of its target to have ended.
  /// May be empty.
  std::function<void(const endpoint &Agent, duration UnresponsiveFor)>
      OnAgentLost;
};

struct forward_balancer_counters {
  std::array<std::uint64_t, ForwardOutcomeNames.size()> Outcomes{};
  std::uint64_t Resets = 0;
  std::uint64_t Notices = 0;
  std::uint64_t Reports = 0;
  std::uint64_t ReportRequests = 0;
  std::uint64_t PolicyNotices = 0;
  std::uint64_t Suspicions = 0;
  /// Lists sent after the first one for the same packet.
  std::uint64_t LookupsContinued = 0;
  /// Owner lookups that the balancer has repeated by itself.
  std::uint64_t LookupsRepeated = 0;
  /// New flows refused because no target could serve them in time.
  std::uint64_t RefusedByThreshold = 0;
};

class forward_balancer {
public:
  static constexpr duration TickPeriod = std::chrono::milliseconds(200);

  forward_balancer(const forward_balancer_settings &Settings,
                   segment_codec Codec, forward_balancer_hooks Hooks);
  ~forward_balancer();
  forward_balancer(const forward_balancer &) = delete;
  forward_balancer &operator=(const forward_balancer &) = delete;

  /// Replaces all routes.
  void setRoutes(const std::vector<route_rule> &Routes, instant Now);
  /// Applies \p Changes; all other routes stay as they are.
  void changeRoutes(const rule_changes &Changes, instant Now);
  void setTargets(const std::vector<target_entry> &Targets, instant Now);
  /// Sets the zones whose targets get no new flows.
  void setEvacuations(const evacuations &Table, instant Now);
  /// Sets how many new flows a second the targets of each service bear while
  /// they warm up, as of the configuration \p RoutesVersion.
  void setWarmupRates(const std::vector<service_warmup> &Rates,
                      std::uint64_t RoutesVersion);
  /// Sets how many flows a target of each service can hold, and the version of
  /// the configuration that the routes are of.
  void setFlowLimits(const std::vector<service_flow_limit> &Limits,
                     std::uint64_t RoutesVersion);
  void setRegions(const zone_regions &Regions);
  /// Sets the time up to which routes and targets include every change.
  void setKnownAsOf(std::optional<instant> Moment);

  forward_outcome onCallerPacket(bytes_view Bytes, instant Now);
  /// Handles a datagram from an agent: a load report, an owner notice, or a
  /// packet whose owner lookup is to continue with the next list.
  void onAgentMessage(const endpoint &From, bytes_view Bytes, instant Now);
  /// Has to be called every TickPeriod.
  void tick(instant Now);
  /// Repeats owner lookups that seem to have ended at an agent that is down.
  /// Returns when it has to be called next, which later packets may bring
  /// forward; nothing if no lookup is pending.
  std::optional<instant> repeatLookups(instant Now);

  const forward_balancer_counters &counters() const;
  std::size_t flows() const;
  std::string statusJson(instant Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

//===----------------------------------------------------------------------===//
// The agent
//===----------------------------------------------------------------------===//

struct forward_agent_settings {
  service_id Service{};
  /// The address at which this agent receives routed packets.
  endpoint Self;
  /// Mechanisms that are disabled for an experiment.
  mechanism_set DisabledMechanisms = {};
  /// By how much a target that is warming up may exceed its rate of new flows;
  /// nothing if the platform states no limit.
  std::optional<warmup_limit::settings> Warmup = {};
};

struct forward_agent_hooks {
  std::function<void(bytes_view)> SendToTarget;
  /// Sends a routed packet to another agent, or a message to a balancer.
  std::function<void(const endpoint &To, bytes_view)> SendToPeer;
  std::function<void(const endpoint &Caller, bytes_view)> SendToCaller;
  /// A packet offered to the target was not answered in time; the callee should
  /// check whether the target is running.
  std::function<void()> TargetUnresponsive;
  /// The payload of \p Packet may contain a request identifier, for the event
  /// log.
  std::function<void(const flow_key &, bytes_view Packet)> OnRequest;
  /// \p Packet begins the answer to a request that arrived \p Took ago. Returns
  /// whether the answer reports a failure of the target.
  std::function<bool(const flow_key &, bytes_view Packet, duration Took)>
      OnAnswer;
  std::function<void(const flow_event &)> OnEvent;
  /// Receives the logical clock of the balancer that placed a flow. May be
  /// empty.
  std::function<void(std::uint64_t)> ObserveClock;
  /// A balancer reports that this agent is not in the store's registry. May be
  /// empty.
  std::function<void()> Unregistered;
  /// No balancer has sent a packet or a request for one minute, and the last
  /// known one may have stopped. The registration may have been removed
  /// unnoticed, so the callee has to check it in the store. May be empty.
  std::function<void()> NoBalancerContact;
  /// A balancer reports that this agent's registration has been known for
  /// SettleTime. May be empty.
  std::function<void()> Registered;
  /// A balancer found this agent's registration when it started. May be empty.
  std::function<void()> RegistrationFound;
  /// A request of this priority was delivered after it had waited for \p
  /// Waited. May be empty.
  std::function<void(std::uint8_t Priority, duration Waited)> OnReleased;
};

/// What the agent did with a packet.
enum class agent_outcome {
  Delivered,
  PassedOn,
  /// The packet belongs to a request that waits until the target has a slot.
  Held,
  /// The caller has ended a flow whose request was still waiting, or has a flow
  /// of which this is a late copy of the first packet.
  Dropped,
  /// The target answered the caller.
  Answered,
  /// No target owns the flow; the caller was sent a reset.
  Reset,
  /// No target accepts this new flow; the caller was sent a reset.
  Refused,
  /// No target in the list owns the flow, but the list may be incomplete.
  Indeterminate,
  Malformed,
};

inline constexpr name_table<agent_outcome, 9> AgentOutcomeNames = {{
    {agent_outcome::Delivered, "delivered"},
    {agent_outcome::PassedOn, "passed_on"},
    {agent_outcome::Held, "held"},
    {agent_outcome::Dropped, "dropped"},
    {agent_outcome::Answered, "answered"},
    {agent_outcome::Reset, "reset"},
    {agent_outcome::Refused, "refused"},
    {agent_outcome::Indeterminate, "unsure"},
    {agent_outcome::Malformed, "malformed"},
}};

/// Why an agent did not offer a new flow to its target.
enum class flow_refusal {
  AnotherService,
  NotAdmitting,
  TargetStopped,
  /// The target was silent, and another flow shows whether it still is.
  TargetSilent,
  ZoneEvacuated,
  /// The target holds as many flows as its service's limit allows.
  FlowLimit,
  /// A request would wait clearly longer here than at the next agent.
  NoFreeSlot,
  WarmingUp,
};

inline constexpr name_table<flow_refusal, 8> FlowRefusalNames = {{
    {flow_refusal::AnotherService, "another service"},
    {flow_refusal::NotAdmitting, "not admitting"},
    {flow_refusal::TargetStopped, "target gone"},
    {flow_refusal::TargetSilent, "target silent"},
    {flow_refusal::ZoneEvacuated, "zone evacuated"},
    {flow_refusal::FlowLimit, "flow limit"},
    {flow_refusal::NoFreeSlot, "no free slot"},
    {flow_refusal::WarmingUp, "warming up"},
}};

struct forward_agent_counters {
  std::array<std::uint64_t, AgentOutcomeNames.size()> Outcomes{};
  std::array<std::uint64_t, FlowRefusalNames.size()> Refusals{};
  std::uint64_t Declined = 0;
  std::uint64_t TimedOut = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Notices = 0;
  /// Requests that had to wait at the agent.
  std::uint64_t RequestsHeld = 0;
  /// Packets that were delivered without waiting because too many were held.
  std::uint64_t HoldOverflows = 0;
};

/// What an agent holds for its target.
struct held_totals {
  std::size_t Requests = 0;
  std::size_t Bytes = 0;
};

class forward_agent {
public:
  static constexpr duration TickPeriod = std::chrono::milliseconds(200);

  forward_agent(const forward_agent_settings &Settings, segment_codec Codec,
                forward_agent_hooks Hooks);
  ~forward_agent();
  forward_agent(const forward_agent &) = delete;
  forward_agent &operator=(const forward_agent &) = delete;

  /// Sets whether new flows may be offered to the target, starting with the
  /// next packet.
  void setAdmitting(bool Admitting);
  bool admitting() const;
  /// Sets whether the target's process has stopped. A stopped target owns no
  /// flow, and every packet counts as declined.
  void setTargetStopped(bool Stopped, instant Now);
  bool targetStopped() const;
  /// The target's process has been started anew. If it was silent, the next new
  /// flow shows whether it still is.
  void onTargetStarted();
  /// The target has not answered the last new flow that it was offered in time.
  bool targetSilent() const;
  /// The target has declined several new flows in a row.
  bool targetDeclining() const;
  /// The target has reported how many requests it processes at once and for how
  /// long it is slower after its start.
  void setTarget(std::uint32_t Slots, duration Warmup, instant Now);
  /// Sets what the target's entry in the store says, until its first report.
  void restoreSlots(std::uint32_t Slots);
  void setIdleFlow(duration IdleFlow);

  /// Returns the open flows whose handshake was seen by \p Moment, the oldest
  /// first.
  std::vector<open_flow> openFlows(instant Moment) const;
  /// Sends resets to the callers of flows that a previous run of the target
  /// owned. A flow that was seen since this agent started is a different flow
  /// with the same addresses and is not reset.
  void resetPreviousFlows(const std::vector<open_flow> &Flows);

  /// Handles a datagram from a balancer or another agent.
  agent_outcome onRouted(const endpoint &From, bytes_view Bytes, instant Now);
  agent_outcome onTargetPacket(bytes_view Bytes, instant Now);

  /// Has to be called every TickPeriod.
  void tick(instant Now);
  /// Passes on packets that the target has not answered in time, and delivers
  /// held requests that are due. Returns when it has to be called next, or
  /// nothing if no packet is waiting.
  std::optional<instant> expire(instant Now);
  /// Sends a load report immediately to every balancer that sent something
  /// recently.
  void reportNow(instant Now);
  /// Delivers everything that is held, in order. For an agent that is about to
  /// stop: callers would have to send these packets again.
  void deliverHeld(instant Now);
  held_totals held() const;

  const forward_agent_counters &counters() const;
  load_report report(instant Now) const;
  std::string statusJson(instant Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FORWARD_H
