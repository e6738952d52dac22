//===- level_site.h - Callers of routes with service levels -----*- C++ -*-===//
///
/// \file
/// Test fixture for service levels: callers that open flows to routes of four
/// priorities and send requests of one or more packets.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_FORWARD_LEVEL_SITE_H
#define MARJORAMRAIL_TEST_FORWARD_LEVEL_SITE_H

#include "forward/forward_world.h"

namespace marjoramrail::testing {

/// Whether both packets have the same headers, apart from the agent's tag.
inline bool isSamePacket(const tcp_packet &A, const tcp_packet &B) {
  return A.Flow == B.Flow && A.Sequence == B.Sequence &&
         A.Acknowledged == B.Acknowledged && A.Payload == B.Payload &&
         A.Syn == B.Syn && A.Ack == B.Ack && A.Fin == B.Fin && A.Rst == B.Rst;
}

struct level_site : forward_world {
  static constexpr std::uint16_t Priorities = 4;
  static constexpr std::uint16_t PayloadBytes = 100;
  /// Stated by all routes.
  duration TimeLimit = std::chrono::seconds(10);
  bool HasLevels = true;

  struct caller {
    flow_key Flow;
    std::uint32_t Acknowledged = 0;
    std::uint32_t Sequence = 5000;
  };

  static endpoint routeOf(std::uint16_t Priority) {
    return {RouteAddress.Address,
            static_cast<std::uint16_t>(RouteAddress.Port + Priority)};
  }

  service_level levelOf(std::uint16_t Priority) const {
    return {.Priority = static_cast<std::uint8_t>(Priority),
            .TimeLimit = TimeLimit};
  }

  void addTarget(unsigned Number, std::uint32_t Slots,
                 const std::string &Zone = "brugge") {
    addHost(Number, "ledger", Zone);
    Hosts[Number].Agent->setTarget(Slots, duration::zero(), Now);
    Hosts[Number].Target.SlotFreeAt.resize(Slots);
  }

  void addLevelBalancer(unsigned Number, const std::string &Zone = "brugge") {
    StatesLevels = HasLevels;
    addBalancer(Number, Zone);
    setLevelRoutes();
  }

  void setLevelRoutes() {
    std::vector<route_rule> Rules;
    for (std::uint16_t Priority = 0; Priority < Priorities; ++Priority) {
      Rules.push_back({routeOf(Priority), {{"ledger", 1}}, {"ledger"}});
      if (HasLevels)
        Rules.back().Level = levelOf(Priority);
    }
    setRoutes(Rules);
  }

  /// Opens a flow without sending a request.
  caller openFlow(std::uint16_t Port, std::uint16_t Priority = 1,
                  unsigned Through = 1) {
    caller Caller{{{0x64400000U + Port, Port}, routeOf(Priority)}};
    const std::size_t Seen = Received.size();
    packet(Through, syn(Caller.Flow));
    for (std::size_t I = Seen; I < Received.size(); ++I)
      if (Received[I].Segment.Head.Syn)
        Caller.Acknowledged = Received[I].Segment.Head.Sequence + 1;
    packet(Through, bare(Caller));
    return Caller;
  }

  static test_frame bare(const caller &Caller) {
    test_frame Frame = data(Caller.Flow, Caller.Acknowledged);
    Frame.Segment.Head.Sequence = Caller.Sequence;
    Frame.Segment.Head.Payload = 0;
    return Frame;
  }

  /// The next packet of a request; the caller may send it more than once.
  static test_frame nextPacket(caller &Caller, std::uint32_t Body) {
    test_frame Frame = data(Caller.Flow, Caller.Acknowledged, Body);
    Frame.Segment.Head.Sequence = Caller.Sequence;
    Caller.Sequence += PayloadBytes;
    return Frame;
  }

  void request(caller &Caller, std::uint32_t Body, unsigned Through = 1) {
    packet(Through, nextPacket(Caller, Body));
  }

  void reset(const caller &Caller) {
    test_frame Frame = bare(Caller);
    Frame.Segment.Head.Rst = true;
    packet(1, Frame);
  }

  void end(const caller &Caller) {
    test_frame Frame = bare(Caller);
    Frame.Segment.Head.Fin = true;
    packet(1, Frame);
  }

  /// The bodies of the packets with payload that target \p Number got.
  std::vector<std::uint32_t> bodies(unsigned Number = 1) const {
    std::vector<std::uint32_t> Bodies;
    for (const test_frame &Frame : Hosts.at(Number).Target.Requests)
      Bodies.push_back(Frame.Body);
    return Bodies;
  }

  std::size_t held(unsigned Number = 1) const {
    return Hosts.at(Number).Agent->held().Requests;
  }
};

/// One target of two slots that answers when told. With the one request that
/// queues at the target, three requests are delivered and the others wait.
struct busy_target : level_site {
  std::vector<caller> Running;

  busy_target() {
    addTarget(1, 2);
    Hosts[1].Target.AnswersWhenTold = true;
    addLevelBalancer(1);
    pass(std::chrono::seconds(1));
    updateBalancers();
  }

  /// Starts the three requests that the target gets; their bodies are 1 to 3.
  void fill() {
    for (std::uint16_t Port = 1; Port <= 3; ++Port) {
      Running.push_back(openFlow(Port, 0));
      request(Running.back(), Port);
    }
  }

  /// Ends one of the requests that fill() started.
  void freeSlot() {
    answer(1, Running.back().Flow);
    Running.pop_back();
  }
};

} // namespace marjoramrail::testing

#endif // MARJORAMRAIL_TEST_FORWARD_LEVEL_SITE_H
