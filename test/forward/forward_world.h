//===- forward_world.h - In-memory balancers, agents, targets ---*- C++ -*-===//
///
/// \file
/// Test fixture that sends callers' packets through real balancer and agent
/// cores to simulated targets. The targets own flows, decline packets of other
/// flows, and can freeze or stop. Time advances only by pass().
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_FORWARD_FORWARD_WORLD_H
#define MARJORAMRAIL_TEST_FORWARD_FORWARD_WORLD_H

#include "marjoramrail/forward.h"

#include <algorithm>
#include <cstring>
#include <deque>
#include <map>
#include <set>

namespace marjoramrail::testing {

/// The tests' own packet format; a real format belongs to the platform.
struct test_frame {
  segment Segment;
  std::uint32_t Body = 0;
};

inline std::vector<std::uint8_t> bytesOf(const test_frame &Frame) {
  std::vector<std::uint8_t> Bytes(sizeof(Frame));
  std::memcpy(Bytes.data(), &Frame, sizeof(Frame));
  return Bytes;
}

/// Mutated bytes may not be a valid bool; a real codec reads single bits.
inline void makeValid(bool &Flag) {
  std::uint8_t Byte = 0;
  std::memcpy(&Byte, &Flag, sizeof(Byte));
  Flag = (Byte & 1) != 0;
}

inline test_frame frameOf(bytes_view Bytes) {
  test_frame Frame;
  std::memcpy(&Frame, Bytes.data(), sizeof(Frame));
  tcp_packet &Head = Frame.Segment.Head;
  for (bool *Flag :
       {&Head.Syn, &Head.Ack, &Head.Fin, &Head.Rst, &Frame.Segment.Declined})
    makeValid(*Flag);
  return Frame;
}

inline segment_codec testCodec() {
  segment_codec Codec;
  Codec.Parse = [](bytes_view Bytes, segment &Segment) {
    if (Bytes.size() != sizeof(test_frame))
      return false;
    Segment = frameOf(Bytes).Segment;
    return true;
  };
  const auto Change = [](std::span<std::uint8_t> Packet, auto Edit) {
    test_frame Frame = frameOf(Packet);
    Edit(Frame.Segment);
    std::memcpy(Packet.data(), &Frame, sizeof(Frame));
  };
  Codec.SetTag = [Change](std::span<std::uint8_t> Packet, std::uint32_t Tag) {
    Change(Packet, [&](segment &Segment) { Segment.Tag = Tag; });
  };
  Codec.Restore = [Change](std::span<std::uint8_t> Packet) {
    Change(Packet, [&](segment &Segment) {
      Segment.Tag = 0;
      Segment.Declined = false;
    });
  };
  Codec.WriteReset = [](const tcp_packet &Packet,
                        std::span<std::uint8_t> Buffer) {
    test_frame Reset;
    Reset.Segment.Head.Flow = {Packet.Flow.Service, Packet.Flow.Caller};
    Reset.Segment.Head.Rst = true;
    Reset.Segment.Head.Sequence = Packet.Acknowledged;
    std::memcpy(Buffer.data(), &Reset, sizeof(Reset));
    return sizeof(Reset);
  };
  return Codec;
}

inline constexpr endpoint RouteAddress{0x0a00ff01, 443};
inline endpoint agentAt(unsigned Number) { return {0x0a000100 + Number, 700}; }
inline endpoint balancerAt(unsigned Number) {
  return {0x0a000900 + Number, 7000};
}
inline flow_key flowOf(std::uint16_t Port) {
  return {{0x64400007, Port}, RouteAddress};
}

/// A packet that a caller received.
struct received {
  segment Segment;
  std::uint32_t Body = 0;
};

class forward_world {
public:
  struct target {
    std::set<flow_key> Flows;
    std::map<flow_key, std::uint32_t> Opening;
    /// The target runs but answers nothing.
    bool Frozen = false;
    /// The target accepts no new flows.
    bool Full = false;
    std::uint32_t NextSequence = 1000;
    std::uint64_t Offered = 0;
    std::uint64_t Declined = 0;
    /// The target answers requests only by answer(). Otherwise it answers each
    /// after ServiceTime.
    bool AnswersWhenTold = false;
    /// How long a request occupies one of the slots; zero if the target answers
    /// at once.
    duration ServiceTime = duration::zero();
    /// When each slot becomes free; as many as the target has slots.
    std::vector<instant> SlotFreeAt = std::vector<instant>(4);
    /// The answers that are due, by their time.
    std::multimap<instant, test_frame> Due;
    /// All packets with payload, and all others, of the target's flows.
    std::vector<test_frame> Requests;
    std::vector<test_frame> Bare;
    /// The sequence number of each flow's next answer.
    std::map<flow_key, std::uint32_t> NextAnswer;

    bool isTimed() const {
      return AnswersWhenTold || ServiceTime > duration::zero();
    }
  };

  struct host {
    std::string Service;
    std::string Zone;
    std::unique_ptr<forward_agent> Agent;
    target Target;
    /// The VM has failed or is cut off from the others.
    bool Cut = false;
    bool InStore = true;
    /// A balancer wrote the agent's entry.
    bool ByPeer = false;
    bool ProbeRequested = false;
    /// Number of notices from balancers that the agent is not registered.
    int Unregistered = 0;
    /// How often the agent had no contact with any balancer for a long time.
    int NoBalancerContact = 0;
    /// Number of notices from balancers that the registration is known.
    int Registered = 0;
    /// Number of notices from balancers that they found the registration at
    /// their start.
    int RegistrationFound = 0;
    /// By how much the target may exceed its rate of new flows while it warms
    /// up, if the site states a limit.
    std::optional<warmup_limit::settings> Warmup;
  };

  static constexpr duration FlowLife = std::chrono::seconds(20);

  instant Now{std::chrono::seconds(10)};
  std::map<unsigned, host> Hosts;
  std::map<unsigned, std::unique_ptr<forward_balancer>> Balancers;
  std::vector<received> Received;
  std::vector<flow_event> Events;
  /// Agents that a balancer has reported as lost.
  std::vector<endpoint> Lost;
  /// Balancers that are added state service levels.
  bool StatesLevels = false;
  /// The level of RouteAddress on balancers that are added.
  std::optional<service_level> RouteLevel;
  /// Called for each datagram between processes.
  std::function<void(const endpoint &From, const endpoint &To, bytes_view)>
      OnSend;
  /// Called before a balancer receives a datagram from an agent.
  std::function<void()> BeforeBalancerReceives;
  /// Datagrams between processes, to measure the cost of an owner lookup.
  std::uint64_t Hops = 0;
  /// Total size of these datagrams in bytes.
  std::size_t SentBytes = 0;

  void addHost(unsigned Number, const std::string &Service = "ledger",
               const std::string &Zone = "brugge") {
    host &Host = Hosts[Number];
    Host.Service = Service;
    Host.Zone = Zone;
    startAgent(Number);
    Host.Agent->setAdmitting(true);
    Host.Agent->setTarget(4, duration::zero(), Now);
    updateBalancers();
  }

  /// Starts an agent without records of its target's flows, as after a restart.
  void startAgent(unsigned Number) {
    host &Host = Hosts[Number];
    forward_agent_hooks Hooks;
    Hooks.SendToTarget = [this, Number](bytes_view Bytes) {
      queue([this, Number, Frame = frameOf(Bytes)] { offer(Number, Frame); });
    };
    Hooks.SendToPeer = [this, Number](const endpoint &To, bytes_view Bytes) {
      send(agentAt(Number), To, Bytes);
    };
    Hooks.SendToCaller = [this](const endpoint &, bytes_view Bytes) {
      Received.push_back({frameOf(Bytes).Segment, frameOf(Bytes).Body});
    };
    Hooks.Unregistered = [&Host] { ++Host.Unregistered; };
    Hooks.NoBalancerContact = [&Host] { ++Host.NoBalancerContact; };
    Hooks.Registered = [&Host] { ++Host.Registered; };
    Hooks.RegistrationFound = [&Host] { ++Host.RegistrationFound; };
    Hooks.TargetUnresponsive = [&Host] { Host.ProbeRequested = true; };
    Hooks.OnEvent = [this](const flow_event &Event) {
      Events.push_back(Event);
    };
    Host.Agent = std::make_unique<forward_agent>(
        forward_agent_settings{serviceNumber(Host.Service), agentAt(Number),
                               mechanism_set(), Host.Warmup},
        testCodec(), Hooks);
  }

  /// Makes \p Zones the evacuated zones on balancer \p Number, as of the store
  /// version \p Version.
  void evacuateOn(unsigned Number, std::uint64_t Version,
                  const std::vector<std::string> &Zones) {
    Balancers.at(Number)->setEvacuations({Version, Zones}, Now);
  }

  /// The number of first packets that the targets of \p Zone were offered.
  std::uint64_t offeredIn(const std::string &Zone) const {
    std::uint64_t Offered = 0;
    for (const auto &[Number, Host] : Hosts)
      if (Host.Zone == Zone)
        Offered += Host.Target.Offered;
    return Offered;
  }

  void addBalancer(unsigned Number, const std::string &Zone = "brugge") {
    forward_balancer_hooks Hooks;
    Hooks.SendToAgent = [this, Number](const endpoint &To, bytes_view Bytes) {
      send(balancerAt(Number), To, Bytes);
    };
    Hooks.SendToCaller = [this](const endpoint &, bytes_view Bytes) {
      Received.push_back({frameOf(Bytes).Segment, frameOf(Bytes).Body});
    };
    Hooks.OnEvent = [this](const flow_event &Event) {
      Events.push_back(Event);
    };
    Hooks.OnAgentLost = [this](const endpoint &Agent, duration) {
      Lost.push_back(Agent);
    };
    forward_balancer_settings Settings{balancerAt(Number), Zone, 1000,
                                       FlowLife};
    Settings.StatesLevels = StatesLevels;
    Balancers[Number] =
        std::make_unique<forward_balancer>(Settings, testCodec(), Hooks);
    Balancers[Number]->setRoutes(
        {{RouteAddress, {{"ledger", 1}}, {"ledger"}, {}, {}, RouteLevel}}, Now);
    updateBalancers();
  }

  void setRoutes(const std::vector<route_rule> &Rules) {
    for (auto &[Number, Balancer] : Balancers)
      Balancer->setRoutes(Rules, Now);
  }

  void updateBalancers() {
    std::vector<target_entry> Targets;
    for (const auto &[Number, Host] : Hosts)
      if (Host.InStore)
        Targets.push_back({"target." + std::to_string(Number), Host.Service,
                           agentAt(Number), Host.Zone, 4, false, Host.ByPeer});
    for (auto &[Number, Balancer] : Balancers) {
      Balancer->setTargets(Targets, Now);
      Balancer->setKnownAsOf(Now);
    }
  }

  /// Makes the balancers' knowledge outdated.
  void expireKnowledge() {
    for (auto &[Number, Balancer] : Balancers)
      Balancer->setKnownAsOf(Now - std::chrono::minutes(1));
  }

  /// Sends a caller's packet through balancer \p Through.
  forward_outcome packet(unsigned Through, test_frame Frame) {
    const auto Bytes = bytesOf(Frame);
    const forward_outcome Outcome =
        Balancers.at(Through)->onCallerPacket(Bytes, Now);
    run();
    return Outcome;
  }

  /// Sends a routed packet of balancer \p From directly to an agent.
  agent_outcome routed(unsigned Number, unsigned From,
                       const routed_packet &Routed) {
    std::array<std::uint8_t, MaxRoutedBytes> Buffer;
    const std::size_t Size = encodeRouted(Routed, Buffer);
    const agent_outcome Outcome = Hosts[Number].Agent->onRouted(
        balancerAt(From), {Buffer.data(), Size}, Now);
    run();
    return Outcome;
  }

  /// Target \p Number answers the request on \p Flow.
  void answer(unsigned Number, const flow_key &Flow, std::uint32_t Body = 7) {
    test_frame Request;
    Request.Segment.Head.Flow = Flow;
    Request.Body = Body;
    replyTo(Number, Request);
    run();
  }

  /// Target \p Number ends \p Flow by a packet without payload.
  void finish(unsigned Number, const flow_key &Flow) {
    test_frame End;
    End.Segment.Head.Flow = {Flow.Service, Flow.Caller};
    End.Segment.Head.Fin = true;
    End.Segment.Head.Sequence = Hosts[Number].Target.NextAnswer[Flow] + 50;
    reply(Number, End);
    run();
  }

  static test_frame syn(const flow_key &Flow, std::uint32_t Copy = 0) {
    test_frame Frame;
    Frame.Segment.Head.Flow = Flow;
    Frame.Segment.Head.Syn = true;
    Frame.Segment.Head.Acknowledged = Copy;
    return Frame;
  }

  static test_frame data(const flow_key &Flow, std::uint32_t Acknowledged,
                         std::uint32_t Body = 7) {
    test_frame Frame;
    Frame.Segment.Head.Flow = Flow;
    Frame.Segment.Head.Ack = true;
    Frame.Segment.Head.Acknowledged = Acknowledged;
    Frame.Segment.Head.Payload = 100;
    Frame.Body = Body;
    return Frame;
  }

  /// Opens a flow and confirms it; returns the acknowledgement number of its
  /// data packets.
  std::uint32_t open(unsigned Through, const flow_key &Flow) {
    Received.clear();
    packet(Through, syn(Flow));
    std::uint32_t Sequence = 0;
    for (const received &Packet : Received)
      if (Packet.Segment.Head.Syn)
        Sequence = Packet.Segment.Head.Sequence;
    packet(Through, data(Flow, Sequence + 1));
    return Sequence + 1;
  }

  unsigned ownerOf(const flow_key &Flow) const {
    for (const auto &[Number, Host] : Hosts)
      if (Host.Target.Flows.contains(Flow))
        return Number;
    return 0;
  }

  std::size_t resets() const {
    std::size_t Count = 0;
    for (const received &Packet : Received)
      Count += Packet.Segment.Head.Rst;
    return Count;
  }

  std::size_t answers() const {
    std::size_t Count = 0;
    for (const received &Packet : Received)
      Count += Packet.Segment.Head.Payload > 0;
    return Count;
  }

  void pass(duration Time) {
    const instant End = Now + Time;
    while (Now < End) {
      Now += std::chrono::milliseconds(20);
      sendDueAnswers();
      for (auto &[Number, Host] : Hosts)
        if (Host.Agent)
          Host.Agent->expire(Now);
      for (auto &[Number, Balancer] : Balancers)
        Balancer->repeatLookups(Now);
      if (++Steps % 10 == 0)
        tick();
      run();
    }
  }

private:
  void tick() {
    for (auto &[Number, Host] : Hosts)
      if (Host.Agent)
        Host.Agent->tick(Now);
    for (auto &[Number, Balancer] : Balancers)
      Balancer->tick(Now);
  }

  void queue(std::function<void()> Task) { Tasks.push_back(std::move(Task)); }

  void run() {
    while (!Tasks.empty()) {
      const auto Task = std::move(Tasks.front());
      Tasks.pop_front();
      Task();
    }
  }

  void send(const endpoint &From, const endpoint &To, bytes_view Bytes) {
    ++Hops;
    SentBytes += Bytes.size();
    if (OnSend)
      OnSend(From, To, Bytes);
    for (const auto &[Number, Host] : Hosts)
      if (agentAt(Number) == From && Host.Cut)
        return;
    queue([this, From, To,
           Copy = std::vector<std::uint8_t>(Bytes.begin(), Bytes.end())] {
      for (auto &[Number, Balancer] : Balancers)
        if (balancerAt(Number) == To) {
          if (BeforeBalancerReceives)
            BeforeBalancerReceives();
          return Balancer->onAgentMessage(From, Copy, Now);
        }
      for (auto &[Number, Host] : Hosts)
        if (agentAt(Number) == To && Host.Agent && !Host.Cut)
          Host.Agent->onRouted(From, Copy, Now);
    });
  }

  void sendDueAnswers() {
    for (auto &[Number, Host] : Hosts) {
      auto &Due = Host.Target.Due;
      while (!Due.empty() && Due.begin()->first <= Now) {
        replyTo(Number, Due.begin()->second);
        Due.erase(Due.begin());
      }
    }
    run();
  }

  /// Answers \p Request with the flow's next bytes.
  void replyTo(unsigned Number, const test_frame &Request) {
    target &Target = Hosts[Number].Target;
    test_frame Answer = answerTo(Request);
    Answer.Segment.Head.Payload = 50;
    Answer.Segment.Head.Sequence =
        Target.NextAnswer[Request.Segment.Head.Flow] += 50;
    Answer.Body = Request.Body;
    reply(Number, Answer);
  }

  /// A target that does not answer at once. A request is one packet if
  /// ServiceTime is set.
  void process(target &Target, const test_frame &Frame) {
    const tcp_packet &Head = Frame.Segment.Head;
    (Head.Payload > 0 ? Target.Requests : Target.Bare).push_back(Frame);
    if (Head.Rst) {
      Target.Flows.erase(Head.Flow);
      return;
    }
    if (Head.Payload == 0 || Target.AnswersWhenTold)
      return;
    instant &FreeAt =
        *std::min_element(Target.SlotFreeAt.begin(), Target.SlotFreeAt.end());
    FreeAt = std::max(FreeAt, Now) + Target.ServiceTime;
    Target.Due.insert({FreeAt, Frame});
  }

  void reply(unsigned Number, const test_frame &Frame) {
    queue([this, Number, Frame] {
      if (Hosts[Number].Agent)
        Hosts[Number].Agent->onTargetPacket(bytesOf(Frame), Now);
    });
  }

  void offer(unsigned Number, const test_frame &Frame) {
    target &Target = Hosts[Number].Target;
    if (Target.Frozen)
      return;
    const tcp_packet &Head = Frame.Segment.Head;
    const bool IsOpening = Head.opensFlow() && !Target.Full;
    if (IsOpening) {
      ++Target.Offered;
      if (!Target.Opening.contains(Head.Flow))
        Target.Opening[Head.Flow] = Target.NextSequence += 1000 + Number;
      test_frame Answer = answerTo(Frame);
      Answer.Segment.Head.Syn = true;
      Answer.Segment.Head.Ack = true;
      Answer.Segment.Head.Sequence = Target.Opening[Head.Flow];
      return reply(Number, Answer);
    }
    const auto Opening = Target.Opening.find(Head.Flow);
    if (Opening != Target.Opening.end() &&
        Head.Acknowledged == Opening->second + 1)
      Target.Flows.insert(Head.Flow);
    if (!Target.Flows.contains(Head.Flow)) {
      ++Target.Declined;
      test_frame Back = Frame;
      Back.Segment.Declined = true;
      return reply(Number, Back);
    }
    if (Target.isTimed())
      return process(Target, Frame);
    if (Head.Payload == 0)
      return;
    test_frame Answer = answerTo(Frame);
    Answer.Segment.Head.Payload = 50;
    Answer.Body = Frame.Body;
    reply(Number, Answer);
  }

  static test_frame answerTo(const test_frame &Frame) {
    test_frame Answer;
    Answer.Segment.Head.Flow = {Frame.Segment.Head.Flow.Service,
                                Frame.Segment.Head.Flow.Caller};
    return Answer;
  }

  std::deque<std::function<void()>> Tasks;
  std::uint64_t Steps = 0;
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_FORWARD_FORWARD_WORLD_H
