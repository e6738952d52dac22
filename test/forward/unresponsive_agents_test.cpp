#include "forward/agent_table.h"
#include "forward/forward_world.h"

#include <doctest/doctest.h>

using namespace marjoramrail;
using namespace marjoramrail::internal;
using namespace marjoramrail::testing;
using namespace std::chrono_literals;

namespace {

/// Callers send what was not answered again after this time, and their requests
/// are given up soon after.
constexpr duration FirstCopy = 200ms;
/// The copy after it.
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

  /// A VM is gone without a word; its entry stays in the store.
  void cutOffVm(unsigned Number) { Hosts[Number].Cut = true; }

  struct opened {
    flow_key Flow;
    std::uint32_t Ack = 0;
  };

  /// Flows through the balancers of all zones, none of them held by \p Gone.
  std::vector<opened> openFlows(const std::set<unsigned> &Gone) {
    std::vector<opened> Flows;
    for (std::uint16_t Port = 1001; Port < 1061; ++Port) {
      const std::uint32_t Ack = open(Port % 3 + 1, flowOf(Port));
      if (!Gone.contains(ownerOf(flowOf(Port))))
        Flows.push_back({flowOf(Port), Ack});
    }
    REQUIRE(Flows.size() > 20);
    return Flows;
  }

  /// The handshake's first packet goes through one balancer, the rest through
  /// another.
  std::uint32_t openThrough(unsigned First, unsigned Then,
                            const flow_key &Flow) {
    Received.clear();
    packet(First, syn(Flow));
    REQUIRE(!Received.empty());
    const std::uint32_t Ack = Received.back().Segment.Head.Sequence + 1;
    packet(Then, data(Flow, Ack));
    return Ack;
  }

  /// The balancer was started a moment ago and has seen no packet yet.
  unsigned startBalancer() {
    const unsigned Number = NextBalancer++;
    addBalancer(Number, "brugge");
    pass(1s);
    updateBalancers();
    return Number;
  }

  /// Whether a caller gets an answer to its packet or the first copy of it.
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

  /// Packets that targets gave back.
  std::uint64_t declined() const {
    std::uint64_t Count = 0;
    for (const auto &[Number, Host] : Hosts)
      Count += Host.Target.Declined;
    return Count;
  }

  std::size_t unanswered(const std::set<unsigned> &Gone) {
    const std::vector<opened> Flows = openFlows(Gone);
    for (const unsigned Number : Gone)
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

TEST_CASE_FIXTURE(three_zones, "a VM that is gone hides no owner behind it") {
  // A target's VM is gone without a word and still stands in the store. A
  // balancer that was started since looks for a flow, and its packets end at
  // the VM that is gone, copy after copy, although the flow's owner is well.
  CHECK(unanswered({3}) == 0);
}

TEST_CASE_FIXTURE(three_zones, "two VMs that are gone hide no owner") {
  // The owner stands between them, so that a walk meets one of them from either
  // end.
  CHECK(unanswered({1, 3}) == 0);
}

TEST_CASE_FIXTURE(three_zones, "a VM that gets no packets is found gone") {
  // A target's VM is gone before a balancer of its zone has started: no flow is
  // placed there, so nothing is sent there first. Its entry would stand in
  // every list for ever.
  cutOffVm(2);
  const unsigned Balancer = startBalancer();
  pass(FlowLife + 25s);
  CHECK(Balancers[Balancer]->counters().Suspicions == 1);
  CHECK(std::count(Lost.begin(), Lost.end(), agentAt(2)) > 0);
}

TEST_CASE("an agent that answers no question is suspected") {
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

TEST_CASE_FIXTURE(three_zones, "a VM that was heard lately may be gone") {
  // The agent reported to the balancer half a second before the flow's packet
  // comes, and its VM is gone since. Taken for there by its old report, it
  // would swallow the caller's copies as well.
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

TEST_CASE_FIXTURE(three_zones, "a guess about the owner hides no owner") {
  // A balancer placed a flow at a target that was full; the next one took it,
  // and only another balancer saw the rest of the handshake. When the full
  // target's VM is gone, the first balancer's packets must not go there alone.
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

TEST_CASE_FIXTURE(three_zones, "a VM that is gone takes no new flow with it") {
  // All targets of a zone are full and give new flows on. The next in the list
  // is gone and was never heard; callers whose SYN ends there three times give
  // up, although other targets are free.
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

TEST_CASE_FIXTURE(three_zones, "an agent that nobody calls looks for itself") {
  // An agent was cut off until its entry was taken out, and the one balancer
  // that it knows is gone meanwhile. Nobody asks what is not in the list: its
  // target, which is well, would never get a flow again.
  CHECK(Hosts[6].NoBalancerContact == 0);
  Balancers.clear();
  pass(59s);
  CHECK(Hosts[6].NoBalancerContact == 0);
  pass(4s);
  CHECK(Hosts[6].NoBalancerContact == 1);
  pass(30s);
  CHECK(Hosts[6].NoBalancerContact == 1);
}

TEST_CASE_FIXTURE(three_zones, "a balancer that was held up reaches owners") {
  // A balancer's loop stands still for seconds, as when its VM has no processor
  // time. Then everyone seems silent to it, and callers have sent three copies
  // of what they wait for. Each packet still has to reach the flow's owner, and
  // live flows are not shown to others one after the other.
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

TEST_CASE_FIXTURE(three_zones, "a balancer that is new and held up finds all") {
  // The same for a balancer that has never seen the flows: a walk finds each
  // owner, though the balancer takes everyone for silent.
  std::vector<opened> Flows = openFlows({});
  const unsigned Balancer = startBalancer();
  Now += 3s;
  Balancers[Balancer]->tick(Now);
  updateBalancers();
  for (const opened &Opened : Flows)
    CHECK(isAnsweredInTime(Balancer, Opened));
}
