//===- forward.h - Flows that end at the targets themselves -----*- C++ -*-===//
///
/// \file
/// The path of packets whose flows the targets end themselves: the balancer's
/// and the agent's core. Both pure: packets, messages and the time in, packets
/// and messages out through hooks.
///
/// Any packet of a flow may land on any balancer. A balancer remembers where it
/// sent a flow, but nothing rests on that memory: every packet carries the list
/// of all agents whose target may hold its flow, the likeliest first. An agent
/// offers the packet to its target; a target that does not hold the flow
/// declines, and the agent sends the packet on to the next in the list. The
/// target's word alone tells who holds a flow, so balancers and agents may be
/// restarted at any time.
///
/// A list holds as many agents as fit into a datagram. Where a service has
/// more, the last agent gives the packet back to its balancer, which lists the
/// next ones (routed_flag::Continues).
///
/// A packet that all have declined belongs to no one. Its caller
/// is told so at once by a reset, if the balancer was sure that its list was
/// whole (routed_flag::Complete); silence would cost the caller its time limit.
///
/// Usage:
/// \code
///   forward_balancer Balancer(Settings, Codec, {.SendToAgent = ...});
///   Balancer.changeRoutes(Changes);
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

/// One packet of a flow, as the platform frames it.
struct segment {
  /// Flow.Caller is the packet's source, Flow.Service its destination.
  tcp_packet Head;
  /// A target gives the packet back: it does not hold the flow, or takes no
  /// new one.
  bool Declined = false;
  /// What the agent wrote into the packet for itself; a target that declines
  /// leaves it as it is.
  std::uint32_t Tag = 0;
};

/// How packets are framed on this platform.
struct segment_codec {
  /// False if \p Bytes is no packet.
  std::function<bool(bytes_view Bytes, segment &Segment)> Parse;
  /// Marks a packet on its way to the target.
  std::function<void(std::span<std::uint8_t> Packet, std::uint32_t Tag)> SetTag;
  /// Makes a declined packet what it was when its sender wrote it.
  std::function<void(std::span<std::uint8_t> Packet)> Restore;
  /// Writes the reset that answers \p Packet; returns its size.
  std::function<std::size_t(const tcp_packet &Packet,
                            std::span<std::uint8_t> Buffer)>
      WriteReset;
};

//===----------------------------------------------------------------------===//
// What agents tell balancers
//===----------------------------------------------------------------------===//

/// An agent's word on its target, to the balancers that send there.
struct load_report {
  service_id Service{};
  endpoint Agent;
  /// New flows are taken: the target is there, heard of, and stays.
  bool Admitting = false;
  /// The target answers what is put to it, and takes new flows.
  bool Answering = true;
  /// Requests at the target now, and how many it runs at once.
  std::uint16_t Active = 0;
  std::uint16_t Slots = 1;
  /// Open flows.
  std::uint32_t Flows = 0;
  /// Share of the slots in use, smoothed over about a second, in thousandths.
  std::uint16_t Busy = 0;
  /// Smoothed time to an answer's first byte.
  duration Latency = duration::zero();
  /// How long the target is still slower after its start.
  duration Warmup = duration::zero();
  /// Failures among its last answers, in thousandths.
  std::uint16_t Failing = 0;

  bool operator==(const load_report &) const = default;
};

inline constexpr std::size_t LoadReportBytes = 40;

/// Returns the size written, or 0 if \p Buffer is too small.
std::size_t encodeLoadReport(const load_report &Report,
                             std::span<std::uint8_t> Buffer);
bool isLoadReport(bytes_view Bytes);
bool decodeLoadReport(bytes_view Bytes, load_report &Report);

/// How long an agent that is asked for a load_report goes on reporting. An
/// agent that does not know Once yet takes it for Lasting.
enum class report_span : std::uint8_t { Continued = 0, Once = 1 };

/// Asks an agent for a load_report.
inline constexpr std::size_t LoadReportRequestBytes = 4;
std::size_t encodeLoadReportRequest(report_span Span,
                                    std::span<std::uint8_t> Buffer);
std::optional<report_span> decodeLoadReportRequest(bytes_view Bytes);

/// Tells an agent that reports that the store's list does not hold it: its
/// entry was taken out while it was cut off, and it has to announce itself
/// again.
inline constexpr std::size_t UnregisteredNoticeBytes = 4;
std::size_t encodeUnregisteredNotice(std::span<std::uint8_t> Buffer);
bool isUnregisteredNotice(bytes_view Bytes);

/// Tells an agent that admits no flows that its entry, for this service, has
/// been known for SettleTime: it needs the store's word no more.
inline constexpr std::size_t RegisteredNoticeBytes = 8;
std::size_t encodeRegisteredNotice(service_id Service,
                                   std::span<std::uint8_t> Buffer);
bool decodeRegisteredNotice(bytes_view Bytes, service_id &Service);

/// Tells an agent that admits no flows that its entry, for this service, stood
/// in the first list that this balancer got after its start. It was written
/// before then: if not by this run of the agent, then by a former one, and all
/// know it.
inline constexpr std::size_t RegistrationFoundNoticeBytes = 8;
std::size_t encodeRegistrationFoundNotice(service_id Service,
                                          std::span<std::uint8_t> Buffer);
bool decodeRegistrationFoundNotice(bytes_view Bytes, service_id &Service);

//===----------------------------------------------------------------------===//
// Where new flows go
//===----------------------------------------------------------------------===//

/// What a balancer knows of one target when it places a flow.
struct placement_candidate {
  bool OwnZone = false;
  /// It has reported since it came into the list.
  bool Reported = true;
  /// Its last report is of now, not of some seconds ago.
  bool Fresh = true;
  bool Admitting = true;
  /// It does not answer, or does not confirm what is sent to it.
  bool Suspect = false;
  std::uint32_t Slots = 1;
  std::uint32_t Flows = 0;
  /// Flows placed there since its last report.
  std::uint32_t Placed = 0;
  std::uint16_t Active = 0;
  std::uint16_t Busy = 0;
  duration Latency = duration::zero();
  duration Warmup = duration::zero();
  /// Failures among its last answers, in thousandths.
  std::uint16_t Failing = 0;
};

/// Chooses among the targets of one service; see placement.cpp for the loads
/// it answers.
class placement {
public:
  explicit placement(const mechanism_set &DisabledMechanisms = {})
      : DisabledMechanisms(DisabledMechanisms) {}

  /// \p Order: positions in \p Targets, the flow's own order of preference.
  /// Returns a position in \p Targets, or nothing if no target takes flows.
  std::optional<std::size_t>
  choose(const std::vector<placement_candidate> &Targets,
         const std::vector<std::size_t> &Order) const;

private:
  mechanism_set DisabledMechanisms = {};
};

//===----------------------------------------------------------------------===//
// The balancer
//===----------------------------------------------------------------------===//

/// What became of a caller's packet.
enum class forward_outcome {
  Placed,
  Sent,
  SentFromCache,
  NoRoute,
  NoTarget,
  /// The list of holders is empty or not known well enough to say so.
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

/// One decision about a flow, for the log.
struct flow_event {
  event_kind What{};
  std::string_view Why;
  flow_key Flow;
  /// The agent concerned, if any.
  endpoint Agent;
  /// Figures that decided it, and the age of what was known.
  double Load = 0;
  duration Age = duration::zero();
};

struct forward_balancer_settings {
  /// Where agents send notices and reports.
  endpoint Self;
  std::string Zone;
  /// Flows remembered at most; 32 bytes each, taken as they come.
  std::size_t MaxFlows = 200'000;
  /// The longest life of a flow.
  duration FlowLife = std::chrono::minutes(1);
  /// Switched off for an experiment.
  mechanism_set DisabledMechanisms = {};
};

struct forward_balancer_hooks {
  std::function<void(const endpoint &Agent, bytes_view)> SendToAgent;
  /// A packet for a caller, by the route's own address.
  std::function<void(const endpoint &Caller, bytes_view)> SendToCaller;
  std::function<void(const flow_event &)> OnEvent;
  /// The time line's clock, which a new flow's first packet carries; may be
  /// empty.
  std::function<std::uint64_t()> Clock;
  /// An agent of the own zone has not answered for \p Silence, and every flow
  /// that its target held is over. May be empty.
  std::function<void(const endpoint &Agent, duration UnresponsiveFor)>
      OnAgentLost;
};

struct forward_balancer_counters {
  std::array<std::uint64_t, ForwardOutcomeNames.size()> Outcomes{};
  std::uint64_t Resets = 0;
  std::uint64_t Notices = 0;
  std::uint64_t Reports = 0;
  std::uint64_t ReportRequests = 0;
  std::uint64_t Suspicions = 0;
  /// Lists after the first one of a packet.
  std::uint64_t LookupsContinued = 0;
};

class forward_balancer {
public:
  static constexpr duration TickPeriod = std::chrono::milliseconds(200);

  forward_balancer(const forward_balancer_settings &Settings,
                   segment_codec Codec, forward_balancer_hooks Hooks);
  ~forward_balancer();
  forward_balancer(const forward_balancer &) = delete;
  forward_balancer &operator=(const forward_balancer &) = delete;

  /// From now on these are all routes.
  void setRoutes(const std::vector<route_rule> &Routes);
  /// All others stay as they are.
  void changeRoutes(const rule_changes &Changes);
  void setTargets(const std::vector<target_entry> &Targets, instant Now);
  /// Routes and targets miss nothing from before \p Moment.
  void setKnownAsOf(std::optional<instant> Moment);

  forward_outcome onCallerPacket(bytes_view Bytes, instant Now);
  /// A datagram from an agent: an owner's notice or a load report.
  void onAgentMessage(const endpoint &From, bytes_view Bytes, instant Now);
  /// Call it every TickPeriod.
  void tick(instant Now);

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
  /// Where this agent takes routed packets.
  endpoint Self;
  /// Switched off for an experiment.
  mechanism_set DisabledMechanisms = {};
};

struct forward_agent_hooks {
  std::function<void(bytes_view)> SendToTarget;
  /// A routed packet to another agent, or a message to a balancer.
  std::function<void(const endpoint &To, bytes_view)> SendToPeer;
  std::function<void(const endpoint &Caller, bytes_view)> SendToCaller;
  /// Something put to the target got no answer: look whether it is there.
  std::function<void()> TargetUnresponsive;
  /// A packet's text may name a request: for the log.
  std::function<void(const flow_key &, bytes_view Packet)> OnRequest;
  /// \p Packet begins the answer to a request that came \p Took ago.
  std::function<void(const flow_key &, bytes_view Packet, duration Took)>
      OnAnswer;
  std::function<void(const flow_event &)> OnEvent;
  /// The time line's clock of the balancer that placed a flow; may be empty.
  std::function<void(std::uint64_t)> ObserveClock;
  /// A balancer says that the store does not hold this agent's entry; may be
  /// empty.
  std::function<void()> Unregistered;
  /// No balancer has sent or asked anything for a minute, and the last one
  /// known may be gone: only the store can say whether the entry still stands.
  /// May be empty.
  std::function<void()> NoBalancerContact;
  /// A balancer says that this agent's entry has been known for SettleTime; may
  /// be empty.
  std::function<void()> Registered;
  /// A balancer found this agent's entry when it started; may be empty.
  std::function<void()> RegistrationFound;
};

/// What became of a packet at an agent.
enum class agent_outcome {
  Delivered,
  PassedOn,
  /// The target answered the caller.
  Answered,
  /// Nobody holds the flow, and the caller was told.
  Reset,
  /// A new flow that no target takes, and the caller was told.
  Refused,
  /// Nobody in the list holds the flow, but the list may not be whole.
  Indeterminate,
  Malformed,
};

inline constexpr name_table<agent_outcome, 7> AgentOutcomeNames = {{
    {agent_outcome::Delivered, "delivered"},
    {agent_outcome::PassedOn, "passed_on"},
    {agent_outcome::Answered, "answered"},
    {agent_outcome::Reset, "reset"},
    {agent_outcome::Refused, "refused"},
    {agent_outcome::Indeterminate, "unsure"},
    {agent_outcome::Malformed, "malformed"},
}};

struct forward_agent_counters {
  std::array<std::uint64_t, AgentOutcomeNames.size()> Outcomes{};
  std::uint64_t Declined = 0;
  std::uint64_t TimedOut = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Notices = 0;
};

class forward_agent {
public:
  static constexpr duration TickPeriod = std::chrono::milliseconds(200);

  forward_agent(const forward_agent_settings &Settings, segment_codec Codec,
                forward_agent_hooks Hooks);
  ~forward_agent();
  forward_agent(const forward_agent &) = delete;
  forward_agent &operator=(const forward_agent &) = delete;

  /// Whether new flows may be offered to the target. Takes effect with the
  /// next packet.
  void setAdmitting(bool Admitting);
  bool admitting() const;
  /// The target's process is gone, or there: while it is gone, it holds no
  /// flow and every packet counts as declined.
  void setTargetStopped(bool Gone, instant Now);
  bool targetStopped() const;
  /// The target runs so many requests at once and is slow for that long.
  void setTarget(std::uint32_t Slots, duration Warmup, instant Now);
  /// The target has answered a request on \p Flow; \p Failed: not with what was
  /// asked for.
  void noteAnswer(const flow_key &Flow, bool Failed, instant Now);
  void setIdleFlow(duration IdleFlow);

  /// Open flows whose handshake was seen by \p Moment, the oldest first.
  std::vector<open_flow> openFlows(instant Moment) const;
  /// Tells the callers of flows that a former run of the target held. A flow
  /// that was seen since this agent started is another one under the same
  /// addresses, and is left alone.
  void resetPreviousFlows(const std::vector<open_flow> &Flows);

  /// A datagram of a balancer or of another agent.
  agent_outcome onRouted(const endpoint &From, bytes_view Bytes, instant Now);
  agent_outcome onTargetPacket(bytes_view Bytes, instant Now);

  /// Call it every TickPeriod.
  void tick(instant Now);
  /// Passes on what the target has not answered in time; when to call it next,
  /// if anything waits.
  std::optional<instant> expire(instant Now);
  /// Tells every balancer heard lately where this agent stands, now.
  void reportNow(instant Now);

  const forward_agent_counters &counters() const;
  load_report report(instant Now) const;
  std::string statusJson(instant Now) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FORWARD_H
