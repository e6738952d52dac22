//===- agent.h - Flow ownership on the target's host ------------*- C++ -*-===//
///
/// \file
/// The core of the agent. For every packet that it receives from a balancer or
/// another agent, it decides whether to deliver the packet to a flow of its
/// own, to pass it to the next owner candidate, or to answer with a reset
/// because no agent owns the flow any more. It uses no sockets, clocks or lwIP:
/// the caller passes the time, and messages to other agents leave through a
/// hook.
///
/// Agents decide this and not balancers because any packet may reach any
/// balancer and balancers share no flow tables. A balancer's list of owner
/// candidates may therefore be long or outdated. Only the agent knows which
/// flows it accepted.
///
/// Usage:
/// \code
///   flow_owner Owner({.Service = service_id(1), .Host = host_id(3),
///                     .Self = RoutedListen, .Incarnation = Incarnation},
///                    {.Send = [&](const endpoint &To, const peer_message &M) {
///                       Socket.send(To, encodePeerMessage(M)); }});
///   Owner.applyView(View, Now);
///   packet_decision What = Owner.decide(Routed, Packet, From, Now);
///   switch (What.Action) { ... }       // deliver, pass on, reset
///   Owner.noteAnswer(AnswerOfStack, Now);
///   Timers.every(flow_owner::TickPeriod, [&] { Owner.tick(Timers.now()); });
/// \endcode
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_AGENT_H
#define MARJORAMRAIL_AGENT_H

#include "marjoramrail/routing.h"
#include "marjoramrail/wire.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace marjoramrail {

//===----------------------------------------------------------------------===//
// Messages between the agents of one service
//===----------------------------------------------------------------------===//

enum class peer_message_kind : std::uint8_t {
  /// Load and the newest known generation; sent to each peer about once a
  /// second.
  Report,
  /// The sender received a passed packet or a probe from the receiver.
  Acknowledgement,
  /// Requests an Acknowledgement.
  Probe,
  /// Requests that the receiver probe Subject on the sender's behalf.
  IndirectProbe,
  /// Subject answered an indirect probe that the receiver requested.
  ProbeSucceeded,
  /// Subject answered neither the sender's probes nor the indirect ones.
  Unresponsive,
};

inline constexpr name_table<peer_message_kind, 6> PeerMessageKindNames = {{
    {peer_message_kind::Report, "report"},
    {peer_message_kind::Acknowledgement, "heard"},
    {peer_message_kind::Probe, "probe"},
    {peer_message_kind::IndirectProbe, "probe-for"},
    {peer_message_kind::ProbeSucceeded, "vouch"},
    {peer_message_kind::Unresponsive, "silent"},
}};

/// Load of the target on an agent's host, used to relay requests.
struct peer_load {
  /// Fraction of the slots in use, smoothed over about a second.
  double Busy = 0;
  /// (running + waiting) / slots.
  double Pressure = 0;
  double Slots = 1;
  /// False while the target drains or starts.
  bool Accepting = true;
  /// Mean time for which a request occupies a slot.
  duration Service = std::chrono::milliseconds(20);

  bool operator==(const peer_load &) const = default;
};

/// One datagram between agents: a magic number followed by CBOR.
struct peer_message {
  peer_message_kind Kind = peer_message_kind::Report;
  service_id Service{};
  host_id Host{};
  std::uint32_t Incarnation = 0;
  /// The newest generation that the sender knows. Peers take it as the
  /// sender's acknowledgement of that generation.
  std::uint64_t Generation = 0;
  /// Flows that are not closing.
  std::uint32_t Flows = 0;
  bool Draining = false;
  /// Requests a Report from the receiver.
  bool ReplyWanted = false;
  /// IndirectProbe, ProbeSucceeded and Unresponsive: the agent concerned.
  endpoint Subject;
  /// Probe and Acknowledgement: the agent that requested an indirect probe.
  /// Empty for a direct probe.
  endpoint Origin;
  peer_load Load;

  bool operator==(const peer_message &) const = default;
};

std::vector<std::uint8_t> encodePeerMessage(const peer_message &Message);

/// True if \p Bytes has the magic number of a peer message.
bool isPeerMessage(bytes_view Bytes);

/// Fails with step::DecodeMessage.
result<peer_message> decodePeerMessage(bytes_view Bytes);

//===----------------------------------------------------------------------===//
// Decisions
//===----------------------------------------------------------------------===//

enum class packet_action {
  /// Deliver the packet to the local TCP stack.
  Deliver,
  /// Send packet_decision::Routed to its Owners[Position].
  PassOn,
  /// Answer with writeReset().
  Reset,
  Drop,
};

enum class packet_reason {
  Owned,
  /// A new flow, accepted.
  Accepted,
  NotOwned,
  /// This agent's view is newer and added owner candidates to the list.
  Extended,
  OverShare,
  Draining,
  /// This agent is not among the flow's choices under the newest active
  /// generation, for example because a host has yet to acknowledge a newer one.
  GenerationNotActive,
  /// A retransmitted SYN, passed to the same agent as the first one.
  RedirectRepeated,
  /// No agent in the list owns the flow.
  NoOwner,
  /// The remaining owner candidates do not respond.
  OwnerUnresponsive,
  /// No target accepts new flows.
  Refused,
  NoView,
  WrongService,
  WrongAddress,
  /// No owner was found, but the view may be too old to conclude that there is
  /// none.
  Unconfirmed,
  /// No peer responds, so this agent's own link may be down.
  LinkSuspect,
  /// The packet is itself a reset, for a flow that no agent owns.
  ResetUnowned,
};

inline constexpr std::size_t PacketReasons = 17;

inline constexpr name_table<packet_reason, PacketReasons> PacketReasonNames = {{
    {packet_reason::Owned, "owned"},
    {packet_reason::Accepted, "accepted"},
    {packet_reason::NotOwned, "not_owned"},
    {packet_reason::Extended, "extended"},
    {packet_reason::OverShare, "over_share"},
    {packet_reason::Draining, "draining"},
    {packet_reason::GenerationNotActive, "generation_not_open"},
    {packet_reason::RedirectRepeated, "handed_on_again"},
    {packet_reason::NoOwner, "no_owner"},
    {packet_reason::OwnerUnresponsive, "owner_silent"},
    {packet_reason::Refused, "refused"},
    {packet_reason::NoView, "no_view"},
    {packet_reason::WrongService, "wrong_service"},
    {packet_reason::WrongAddress, "wrong_address"},
    {packet_reason::Unconfirmed, "unconfirmed"},
    {packet_reason::LinkSuspect, "link_suspect"},
    {packet_reason::ResetUnowned, "reset_unowned"},
}};

/// What to do with one packet, and why.
struct packet_decision {
  packet_action Action = packet_action::Drop;
  packet_reason Reason = packet_reason::NoView;
  /// For PassOn: the packet to send.
  routed_packet Routed;
  /// The caller completed the handshake with another agent. The local stack
  /// must discard its half-open flow before Action is carried out.
  bool DiscardHalfOpen = false;
};

struct flow_owner_settings {
  service_id Service{};
  host_id Host{};
  /// The address at which this agent receives routed packets, as in views.
  endpoint Self;
  std::uint32_t Incarnation = 0;
  /// See service_spec::MaxSharePercent.
  std::uint32_t MaxSharePercent = 105;
  /// A view that was not confirmed for longer does not justify a reset. Three
  /// times the period at which balancers answer heartbeats, plus a margin.
  duration MaxViewAge = std::chrono::seconds(5);
  /// Number of peers that receive a report each second, in rotation.
  std::size_t ReportFanout = 16;
};

struct flow_owner_hooks {
  std::function<void(const endpoint &To, const peer_message &)> Send;
  /// Returns the target's load for reports; may be empty.
  std::function<peer_load()> Load;
  /// Notifies a balancer that a peer may be dead; may be empty.
  std::function<void(const endpoint &Balancer, const unresponsive_notice &)>
      ReportUnresponsive;
  /// Receives each peer's report, for the relay of requests; may be empty.
  std::function<void(const peer_message &)> OnReport;
};

/// Keeps track of the flows that one agent owns, and decides on packets.
class flow_owner {
public:
  static constexpr duration TickPeriod = std::chrono::milliseconds(100);

  flow_owner(const flow_owner_settings &Settings, flow_owner_hooks Hooks);
  ~flow_owner();
  flow_owner(const flow_owner &) = delete;
  flow_owner &operator=(const flow_owner &) = delete;

  /// Applies a view of the service. An older one is ignored.
  void applyView(const service_view &View, instant Now);
  /// A balancer confirmed that the view is still the newest.
  void confirmView(instant Now);

  /// See service_spec::MaxSharePercent.
  void setMaxShare(std::uint32_t Percent);

  /// Stops accepting new flows.
  void drain();
  /// Accepts new flows again after drain().
  void resume();

  /// Removes every flow and continues as another incarnation. Needed when this
  /// agent was declared dead: others have answered for its flows since.
  void restart(std::uint32_t Incarnation);

  /// Decides on \p Packet, which was received as \p Routed from \p From.
  packet_decision decide(const routed_packet &Routed, const tcp_packet &Packet,
                         const endpoint &From, instant Now);

  /// Records an outgoing packet. Must be called for every packet that the stack
  /// sends.
  void noteAnswer(const tcp_packet &Answer, instant Now);

  /// The application closed \p Flow; the stack still answers its packets.
  void flowClosing(const flow_key &Flow, instant Now);
  /// The stack has released all state of \p Flow.
  void flowRemoved(const flow_key &Flow);

  void receive(const peer_message &Message, const endpoint &From, instant Now);

  /// Sends due messages and removes expired entries. Call it every TickPeriod.
  void tick(instant Now);

  /// Flows that are not closing.
  std::size_t flows() const;

  /// The oldest generation that is needed to route packets to this agent's
  /// flows or to its next new flow. A flow whose owner is among the newest
  /// generation's choices needs no older one. 0 without a view.
  std::uint64_t oldestNeededGeneration() const;

  std::uint64_t viewVersion() const;

  /// Number of decisions made for \p Reason since the start.
  std::uint64_t count(packet_reason Reason) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_AGENT_H
