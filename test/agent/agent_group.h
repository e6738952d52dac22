//===- agent_group.h - Agents of one service for tests ----------*- C++ -*-===//
///
/// \file
/// Simulates the agents of one service and the packets between them.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_AGENT_AGENT_GROUP_H
#define MARJORAMRAIL_TEST_AGENT_AGENT_GROUP_H

#include "marjoramrail/agent.h"

#include <deque>
#include <map>
#include <set>

namespace marjoramrail::testing {

inline constexpr service_id Ledger{1};
inline constexpr endpoint LedgerAddress{0x0a00ff01, 443};
inline constexpr endpoint Balancer{0x0a000901, 4789};

inline endpoint agentOf(unsigned Host) { return {0x0a000100 + Host, 4790}; }

/// A view of hosts 1 to \p Hosts with one generation that contains all.
inline service_view viewOf(unsigned Hosts, std::uint64_t Version = 1) {
  service_view View;
  View.Id = Ledger;
  View.Name = "ledger";
  View.Address = LedgerAddress;
  View.Version = Version;
  generation All{1, {}};
  for (unsigned Host = 1; Host <= Hosts; ++Host) {
    View.Targets.push_back(
        {host_id(Host), agentOf(Host), zone_id(0), target_state::Ready, 1});
    All.Members.push_back({host_id(Host), 100});
  }
  View.Generations = {All};
  return View;
}

/// \p View with \p Members added as the newest generation.
inline service_view withGeneration(service_view View,
                                   const std::vector<unsigned> &Members) {
  generation Next{View.Generations.front().Number + 1, {}};
  for (const unsigned Host : Members)
    Next.Members.push_back({host_id(Host), 100});
  View.Generations.insert(View.Generations.begin(), Next);
  ++View.Version;
  return View;
}

/// The agents that a packet visited and the last decision on it.
struct packet_trace {
  packet_action Action = packet_action::Drop;
  packet_reason Reason = packet_reason::NoView;
  unsigned Host = 0;
  std::vector<unsigned> Path;
};

/// Several agents with the packets and messages between them. The test advances
/// the time. An agent in Dead receives and sends nothing.
class agent_group {
public:
  instant Now{std::chrono::seconds(100)};
  std::map<unsigned, std::unique_ptr<flow_owner>> Agents;
  std::set<unsigned> Dead;
  /// Pairs (from, to) between which messages and packets are lost.
  std::set<std::pair<unsigned, unsigned>> CutLinks;
  std::uint32_t NextInitial = 7'000'000;

  explicit agent_group(const service_view &View) {
    for (const target &Target : View.Targets)
      start(static_cast<unsigned>(Target.Id), 1);
    applyView(View);
    advanceTime(std::chrono::seconds(2));
  }

  void start(unsigned Host, std::uint32_t Incarnation) {
    flow_owner_settings Settings;
    Settings.Service = Ledger;
    Settings.Host = host_id(Host);
    Settings.Self = agentOf(Host);
    Settings.Incarnation = Incarnation;
    flow_owner_hooks Hooks;
    Hooks.Send = [this, Host](const endpoint &To, const peer_message &Message) {
      Messages.push_back({Host, hostAt(To), Message});
    };
    Agents[Host] = std::make_unique<flow_owner>(Settings, std::move(Hooks));
  }

  void applyView(const service_view &View) {
    for (const auto &[Host, Agent] : Agents)
      Agent->applyView(View, Now);
  }

  /// Advances the time. All views are confirmed throughout.
  void advanceTime(duration Time) {
    for (const instant End = Now + Time; Now < End;) {
      Now += flow_owner::TickPeriod;
      for (const auto &[Host, Agent] : Agents) {
        if (Dead.contains(Host))
          continue;
        Agent->confirmView(Now);
        Agent->tick(Now);
      }
      deliverMessages();
    }
  }

  /// Follows a packet that a balancer sent to the first of \p Routed's owners.
  packet_trace follow(routed_packet Routed, const tcp_packet &Packet) {
    packet_trace Trace;
    endpoint From = Balancer;
    while (true) {
      const unsigned Host = hostAt(Routed.Owners[Routed.Position]);
      Trace.Path.push_back(Host);
      if (!reaches(hostAt(From), Host))
        return Trace;
      flow_owner &Agent = *Agents.at(Host);
      const packet_decision Decision = Agent.decide(Routed, Packet, From, Now);
      deliverMessages();
      Trace.Action = Decision.Action;
      Trace.Reason = Decision.Reason;
      Trace.Host = Host;
      if (Decision.Action == packet_action::Deliver && Packet.opensFlow())
        answerSyn(Agent, Packet);
      if (Decision.Action != packet_action::PassOn)
        return Trace;
      Routed = Decision.Routed;
      From = agentOf(Host);
    }
  }

  /// The initial sequence number in the answer to each flow's last SYN.
  std::map<flow_key, std::uint32_t> Initials;

private:
  struct message {
    unsigned From;
    unsigned To;
    peer_message Content;
  };

  static unsigned hostAt(const endpoint &Agent) {
    return Agent == Balancer ? 0 : Agent.Address - 0x0a000100;
  }

  bool reaches(unsigned From, unsigned To) const {
    return Agents.contains(To) && !Dead.contains(From) && !Dead.contains(To) &&
           !CutLinks.contains({From, To});
  }

  void deliverMessages() {
    while (!Messages.empty()) {
      const message Next = Messages.front();
      Messages.pop_front();
      if (reaches(Next.From, Next.To))
        Agents.at(Next.To)->receive(Next.Content, agentOf(Next.From), Now);
    }
  }

  void answerSyn(flow_owner &Agent, const tcp_packet &Syn) {
    tcp_packet Answer;
    Answer.Flow = Syn.Flow;
    Answer.Syn = Answer.Ack = true;
    Answer.Sequence = NextInitial += 5'000'000;
    Answer.Acknowledged = Syn.Sequence + 1;
    Initials[Syn.Flow] = Answer.Sequence;
    Agent.noteAnswer(Answer, Now);
  }

  std::deque<message> Messages;
};

inline flow_key flowFrom(std::uint16_t Port) {
  return {{0x0a0a0001, Port}, LedgerAddress};
}

inline constexpr std::uint32_t CallerInitial = 1000;

inline tcp_packet synOf(const flow_key &Flow,
                        std::uint32_t Sequence = CallerInitial) {
  tcp_packet Packet;
  Packet.Flow = Flow;
  Packet.Syn = true;
  Packet.Sequence = Sequence;
  return Packet;
}

/// The caller's first packet after a handshake in which the agent's initial
/// sequence number was \p Initial.
inline tcp_packet ackOf(const flow_key &Flow, std::uint32_t Initial,
                        std::uint32_t Sequence = CallerInitial) {
  tcp_packet Packet;
  Packet.Flow = Flow;
  Packet.Ack = true;
  Packet.Sequence = Sequence + 1;
  Packet.Acknowledged = Initial + 1;
  return Packet;
}

/// \p Packet as a balancer with \p View would send it.
inline routed_packet routedBy(const service_view &View,
                              const tcp_packet &Packet) {
  const service_router Router(View);
  routed_packet Routed;
  Routed.Service = View.Id;
  Routed.Version = View.Version;
  const owner_list Owners = Packet.opensFlow() ? Router.choices(Packet.Flow)
                                               : Router.owners(Packet.Flow);
  for (const std::uint16_t Position : Owners)
    Routed.Owners[Routed.Count++] = Router.targetAt(Position).Agent;
  return Routed;
}

/// Opens \p Flow through a balancer with \p View and returns the owner.
inline unsigned openFlow(agent_group &Group, const service_view &View,
                         const flow_key &Flow) {
  const tcp_packet Syn = synOf(Flow);
  const unsigned Owner = Group.follow(routedBy(View, Syn), Syn).Host;
  const tcp_packet Ack = ackOf(Flow, Group.Initials[Flow]);
  Group.follow(routedBy(View, Ack), Ack);
  return Owner;
}

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_AGENT_AGENT_GROUP_H
