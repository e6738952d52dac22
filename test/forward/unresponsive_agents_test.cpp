#include "forward/agent_table.h"
#include "forward/forward_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// Time after which callers first retransmit an unanswered packet; requests
/// time out soon after.
constexpr duration FirstCopy = 200ms;
/// Time between the first and the second retransmission.
constexpr duration SecondCopy = 400ms;

/// Two targets in each of three zones.
struct three_zones : forward_world {
  static constexpr unsigned Targets = 6;

  three_zones() {
    const char *Zones[] = {"brugge", "oostende", "zeebrugge"};
    for (unsigned Number = 1; Number <= Targets; ++Number)
      addHost(Number, "ledger", Zones[(Number - 1) / 2]);
    for (unsigned Zone = 0; Zone < 3; ++Zone)
      addBalancer(Zone + 1, Zones[Zone]);
    pass(1s);
    updateBalancers();
  }

  /// A VM fails without unregistering; its entry stays in the store.
  void cutOffVm(unsigned Number) { Hosts[Number].Cut = true; }

  struct opened {
    flow_key Flow;
    std::uint32_t Ack = 0;
  };

  /// Opens flows through the balancers of all zones and returns those not owned
  /// by \p Failed.
  std::vector<opened> openFlows(const std::set<unsigned> &Failed) {
    std::vector<opened> Flows;
    for (std::uint16_t Port = 1001; Port < 1061; ++Port) {
      const std::uint32_t Ack = open(Port % 3 + 1, flowOf(Port));
      if (!Failed.contains(ownerOf(flowOf(Port))))
        Flows.push_back({flowOf(Port), Ack});
    }
    REQUIRE(Flows.size() > 20);
    return Flows;
  }

  /// Sends the first packet of the handshake through one balancer and the rest
  /// through another.
  std::uint32_t openThrough(unsigned First, unsigned Then,
                            const flow_key &Flow) {
    Received.clear();
    packet(First, syn(Flow));
    REQUIRE(!Received.empty());
    const std::uint32_t Ack = Received.back().Segment.Head.Sequence + 1;
    packet(Then, data(Flow, Ack));
    return Ack;
  }

  /// Starts a balancer that has not seen any packet yet.
  unsigned startBalancer() {
    const unsigned Number = NextBalancer++;
    addBalancer(Number, "brugge");
    pass(1s);
    updateBalancers();
    return Number;
  }

  /// Returns true if a caller gets an answer to its packet or to the first
  /// retransmission.
  bool isAnsweredInTime(unsigned Through, const opened &Opened) {
    Received.clear();
    packet(Through, data(Opened.Flow, Opened.Ack));
    pass(FirstCopy);
    if (answers() == 0)
      packet(Through, data(Opened.Flow, Opened.Ack));
    return answers() > 0;
  }

  std::vector<std::uint8_t> reportOf(unsigned Number) {
    std::vector<std::uint8_t> Bytes(LoadReportBytes);
    encodeLoadReport(Hosts[Number].Agent->report(Now), Bytes);
    return Bytes;
  }

  /// Number of packets that targets declined.
  std::uint64_t declined() const {
    std::uint64_t Count = 0;
    for (const auto &[Number, Host] : Hosts)
      Count += Host.Target.Declined;
    return Count;
  }

  std::size_t unanswered(const std::set<unsigned> &Failed) {
    const std::vector<opened> Flows = openFlows(Failed);
    for (const unsigned Number : Failed)
      cutOffVm(Number);
    std::size_t Count = 0;
    for (const opened &Opened : Flows)
      Count += !isAnsweredInTime(startBalancer(), Opened);
    return Count;
  }

private:
  unsigned NextBalancer = 10;
};

} // namespace

TEST_CASE_FIXTURE(three_zones, "a failed VM hides no owner behind it") {
  // A target's VM has failed and is still registered. A balancer that was
  // started since looks up a flow's owner, and every copy of the packet is lost
  // at the failed VM although the owner is running.
  CHECK(unanswered({3}) == 0);
}

TEST_CASE_FIXTURE(three_zones, "two failed VMs hide no owner") {
  // The owner is between two failed VMs, so a lookup in either direction meets
  // one of them first.
  CHECK(unanswered({1, 3}) == 0);
}

TEST_CASE_FIXTURE(three_zones, "a failed VM that gets no packets is detected") {
  // A target's VM failed before a balancer of its zone was started. No flow is
  // placed there, so no packet is sent that would reveal the failure. The entry
  // would stay in every list for ever.
  cutOffVm(2);
  const unsigned Balancer = startBalancer();
  pass(FlowLife + 25s);
  CHECK(Balancers[Balancer]->counters().Suspicions == 1);
  CHECK(std::count(Lost.begin(), Lost.end(), agentAt(2)) > 0);
}

TEST_CASE("an agent that answers no report request is suspected") {
  agent_table AgentTable("brugge", 17);
  const endpoint Agent = agentAt(1);
  instant Now{10s};
  AgentTable.set({{"target.1", "ledger", Agent, "brugge", 4, false}}, Now);
  std::vector<endpoint> Suspected;
  for (int Round = 0; Round < 5; ++Round, Now += 200ms) {
    std::vector<endpoint> Requested;
    AgentTable.review(Now, Requested, [&](const agent_state &State) {
      Suspected.push_back(State.Agent);
    });
  }
  CHECK(Suspected == std::vector<endpoint>{Agent});
}

TEST_CASE_FIXTURE(three_zones,
                  "a VM that has reported recently may have failed") {
  // The agent reported to the balancer half a second before the flow's packet
  // arrives, and its VM has failed since. If the old report counted, the
  // caller's retransmissions would be lost there as well.
  const std::vector<opened> Flows = openFlows({3});
  std::size_t Unanswered = 0;
  for (const opened &Opened : Flows) {
    Hosts[3].Cut = false;
    const unsigned Balancer = startBalancer();
    Balancers[Balancer]->onAgentMessage(agentAt(3), reportOf(3), Now);
    cutOffVm(3);
    pass(500ms);
    Unanswered += !isAnsweredInTime(Balancer, Opened);
  }
  CHECK(Unanswered == 0);
}

TEST_CASE_FIXTURE(three_zones, "an unconfirmed placement hides no owner") {
  // A balancer placed a flow at a target that was full. The next target
  // accepted it, and only another balancer saw the rest of the handshake. When
  // the VM of the full target fails, the first balancer must not send the
  // flow's packets there alone.
  constexpr unsigned Chosen = 1;
  std::size_t Attempts = 0;
  std::size_t Unanswered = 0;
  for (std::uint16_t Port = 1001; Port < 1031; ++Port) {
    const flow_key Flow = flowOf(Port);
    const unsigned Balancer = startBalancer();
    Hosts[Chosen].Target.Full = true;
    const std::uint32_t Ack = openThrough(Balancer, 2, Flow);
    Hosts[Chosen].Target.Full = false;
    pass(3s);
    cutOffVm(Chosen);
    ++Attempts;
    Unanswered += !isAnsweredInTime(Balancer, {Flow, Ack});
    Hosts[Chosen].Cut = false;
    pass(1s);
  }
  CHECK(Attempts > 0);
  CHECK(Unanswered == 0);
}

TEST_CASE_FIXTURE(three_zones, "no new flow is lost at a failed VM") {
  // All targets of a zone are full and pass new flows on. The next agent in the
  // list has failed and never reported. Callers whose SYN is lost there three
  // times give up although other targets are free.
  Hosts[1].Target.Full = Hosts[2].Target.Full = true;
  cutOffVm(3);
  std::size_t Refused = 0;
  for (std::uint16_t Port = 1001; Port < 1031; ++Port) {
    const unsigned Balancer = startBalancer();
    Received.clear();
    packet(Balancer, syn(flowOf(Port)));
    pass(FirstCopy);
    if (Received.empty())
      packet(Balancer, syn(flowOf(Port), 1));
    pass(SecondCopy);
    if (Received.empty())
      packet(Balancer, syn(flowOf(Port), 2));
    Refused += Received.empty();
  }
  CHECK(Refused == 0);
}

TEST_CASE_FIXTURE(three_zones,
                  "an agent without balancer contact checks its registration") {
  // An agent was cut off until its entry was removed, and the only balancer it
  // knows has stopped in the meantime. No balancer sends requests to an agent
  // that is not registered, so its running target would never get a flow again.
  CHECK(Hosts[6].NoBalancerContact == 0);
  Balancers.clear();
  pass(59s);
  CHECK(Hosts[6].NoBalancerContact == 0);
  pass(4s);
  CHECK(Hosts[6].NoBalancerContact == 1);
  pass(30s);
  CHECK(Hosts[6].NoBalancerContact == 1);
}

TEST_CASE_FIXTURE(three_zones,
                  "a balancer whose loop stopped still reaches owners") {
  // A balancer's event loop stops for seconds, as when its VM gets no processor
  // time. All agents then seem unresponsive to it, and callers have sent three
  // copies of their packets. Each packet still has to reach the flow's owner,
  // and must not be offered to other targets first.
  std::vector<opened> Flows;
  for (std::uint16_t Port = 1001; Port < 1031; ++Port)
    Flows.push_back({flowOf(Port), open(1, flowOf(Port))});
  const std::uint64_t Before = declined();
  Now += 3s;
  Balancers[1]->tick(Now);
  for (const opened &Opened : Flows) {
    Received.clear();
    for (int Copy = 0; Copy < 3; ++Copy)
      packet(1, data(Opened.Flow, Opened.Ack));
    CHECK(answers() == 3);
  }
  CHECK(declined() == Before);
}

TEST_CASE_FIXTURE(three_zones,
                  "a new balancer whose loop stopped finds all owners") {
  // The same for a balancer that has never seen the flows: an owner lookup has
  // to find each owner although the balancer considers all agents unresponsive.
  std::vector<opened> Flows = openFlows({});
  const unsigned Balancer = startBalancer();
  Now += 3s;
  Balancers[Balancer]->tick(Now);
  updateBalancers();
  for (const opened &Opened : Flows)
    CHECK(isAnsweredInTime(Balancer, Opened));
}
