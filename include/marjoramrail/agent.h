//===- agent.h - Who owns a flow, decided beside the target -----*- C++ -*-===//
///
/// \file
/// The core of the agent: for every packet that a balancer or another agent
/// sent here it decides whether the packet is for a flow of its own, goes on to
/// the next possible owner, or is answered with a reset because nobody owns the
/// flow any more. Pure code: no sockets, clocks or lwIP; the time comes as an
/// argument and messages to other agents leave through a hook.
///
/// Why an agent and not the balancers: any packet may land on any balancer and
/// balancers share no flow tables, so their list of possible owners may be
/// long, old, or both. Only the agent knows which flows it accepted.
///
/// Usage:
/// \code
///   flow_owner Owner({.Service = service_id(1), .Host = host_id(3),
///                     .Self = RoutedListen, .Incarnation = Incarnation},
///                    {.Send = [&](const endpoint &To, const peer_message &M) {
///                       Socket.send(To, encodePeerMessage(M)); }});
///   Owner.takeView(View, Now);
///   packet_decision What = Owner.decide(Routed, Packet, From, Now);
///   switch (What.Action) { ... }       // give to the stack, send on, reset
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
  /// Load and the newest generation known; about one a second to each peer.
  Report,
  /// "Your packet or probe has reached me."
  Acknowledgement,
  /// Asks for Heard.
  Probe,
  /// Asks the receiver to probe Subject on the sender's behalf.
  IndirectProbe,
  /// "Subject has answered my probe for you."
  ProbeSucceeded,
  /// "Subject answers neither me nor those that I asked to probe it."
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

/// How busy the target beside an agent is, for the relay of requests.
struct peer_load {
  /// Share of the slots in use, smoothed over about a second.
  double Busy = 0;
  /// (running + waiting) / slots.
  double Pressure = 0;
  double Slots = 1;
  /// False while it drains or starts.
  bool Accepting = true;
  /// How long a request holds a slot, on average.
  duration Service = std::chrono::milliseconds(20);

  bool operator==(const peer_load &) const = default;
};

/// One datagram from agent to agent, CBOR behind a magic number of its own.
struct peer_message {
  peer_message_kind Kind = peer_message_kind::Report;
  service_id Service{};
  host_id Host{};
  std::uint32_t Incarnation = 0;
  /// The newest generation that the sender knows: its acknowledgement.
  std::uint64_t Generation = 0;
  /// Flows that are not closing.
  std::uint32_t Flows = 0;
  bool Draining = false;
  /// The sender waits for the receiver's Report.
  bool ReplyWanted = false;
  /// IndirectProbe and Vouch: the agent in question.
  endpoint Subject;
  /// Probe and Heard: the agent that asked, if not the sender of the probe.
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
  /// Give the packet to the stack.
  Deliver,
  /// Send Routed to Routed.Owners[Routed.Position].
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
  /// This agent's newer view added owners to the list.
  Extended,
  OverShare,
  Draining,
  /// Not everyone who must know the newest generation does yet.
  GenerationNotActive,
  /// A SYN that was resent goes where the first one went.
  RedirectRepeated,
  /// Nobody in the list owns the flow.
  NoOwner,
  /// The possible owners that are left do not answer.
  OwnerUnresponsive,
  /// No target takes new flows.
  Refused,
  NoView,
  WrongService,
  WrongAddress,
  /// Nobody owns the flow as far as is known, which may not be far enough.
  Unconfirmed,
  /// No peer answers: this agent's own link may be the cause.
  LinkSuspect,
  /// A reset for a flow that nobody owns.
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

struct packet_decision {
  packet_action Action = packet_action::Drop;
  packet_reason Reason = packet_reason::NoView;
  /// With PassOn: the packet as it is to be sent.
  routed_packet Routed;
  /// A half-open flow here turned out to be another agent's; the stack must
  /// forget it before anything else.
  bool DiscardHalfOpen = false;
};

struct flow_owner_settings {
  service_id Service{};
  host_id Host{};
  /// Where this agent takes routed packets, as views name it.
  endpoint Self;
  std::uint32_t Incarnation = 0;
  /// See service_spec::MaxSharePercent.
  std::uint32_t MaxSharePercent = 105;
  /// A view not heard of for longer is no ground for a reset. Three times the
  /// period at which balancers answer announcements, and some slack.
  duration MaxViewAge = std::chrono::seconds(5);
  /// Peers that get a report each second; the others' turn comes later.
  std::size_t ReportFanout = 16;
};

struct flow_owner_hooks {
  std::function<void(const endpoint &To, const peer_message &)> Send;
  /// The target's load for reports; may be empty.
  std::function<peer_load()> Load;
  /// Tells a balancer that a peer may be dead; may be empty.
  std::function<void(const endpoint &Balancer, const silence_notice &)>
      ReportUnresponsive;
  /// A peer's report, for the relay of requests; may be empty.
  std::function<void(const peer_message &)> OnReport;
};

/// Owns the flows of one agent.
class flow_owner {
public:
  static constexpr duration TickPeriod = std::chrono::milliseconds(100);

  flow_owner(const flow_owner_settings &Settings, flow_owner_hooks Hooks);
  ~flow_owner();
  flow_owner(const flow_owner &) = delete;
  flow_owner &operator=(const flow_owner &) = delete;

  /// Takes a view of the service; an older one is ignored.
  void takeView(const service_view &View, instant Now);
  /// The fleet has said that the view still stands.
  void confirmView(instant Now);

  /// See service_spec::MaxSharePercent.
  void setMaxShare(std::uint32_t Percent);

  /// From now on accepts no new flows.
  void drain();
  /// Takes drain() back.
  void resume();

  /// Forgets every flow: the fleet held this agent for dead and has answered
  /// for it, so it goes on as another incarnation.
  void restart(std::uint32_t Incarnation);

  /// Decides on \p Packet, which came as \p Routed from \p From.
  packet_decision decide(const routed_packet &Routed, const tcp_packet &Packet,
                         const endpoint &From, instant Now);

  /// Must see every packet that the stack sends.
  void noteAnswer(const tcp_packet &Answer, instant Now);

  /// The application is done with \p Flow; the stack still answers for it.
  void flowClosing(const flow_key &Flow, instant Now);
  /// The stack holds nothing of \p Flow any more.
  void flowRemoved(const flow_key &Flow);

  void receive(const peer_message &Message, const endpoint &From, instant Now);

  /// Sends what is due and forgets what is over. Call it every TickPeriod.
  void tick(instant Now);

  /// Flows that are not closing.
  std::size_t flows() const;

  /// The oldest generation that this agent's flows or its next new flow need.
  /// A flow whose owner is among the newest generation's choices needs none
  /// older. 0 without a view.
  std::uint64_t oldestNeededGeneration() const;

  std::uint64_t viewVersion() const;

  /// Decisions made for \p Reason since the start.
  std::uint64_t count(packet_reason Reason) const;

private:
  struct impl;
  std::unique_ptr<impl> Impl;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_AGENT_H
