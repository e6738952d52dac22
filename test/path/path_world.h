//===- path_world.h - Simulation of balancers and agents --------*- C++ -*-===//
///
/// \file
/// Connects the real cores of balancers and agents, the real planner of views
/// and simple TCP callers through a simulated network. The network delays,
/// reorders, loses and duplicates packets from a seed, and each node receives
/// each view at a time of its own. The simulation knows the true owner of every
/// flow and counts where the system deviates from it. The test advances the
/// time. Machines, links and daemons are not modelled.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_TEST_PATH_WORLD_H
#define MARJORAMRAIL_TEST_PATH_WORLD_H

#include "fleet/membership_plan.h"
#include "marjoramrail/agent.h"
#include "marjoramrail/balancer.h"

#include <map>
#include <memory>
#include <random>
#include <unordered_map>

namespace marjoramrail::test {

/// Parameters of a simulation.
struct world_settings {
  std::uint64_t Seed = 1;
  std::uint32_t Hosts = 7;
  std::uint32_t Balancers = 3;
  double LossPercent = 0;
  double DuplicatePercent = 0;
  /// Maximum one-way delay; delays are uniform from 1 ms. Packets are reordered
  /// if their delays differ by more than a step.
  duration MaxDelay = std::chrono::milliseconds(10);
  /// Interval between two packets of a caller.
  duration SendPeriod = std::chrono::milliseconds(250);
  /// Maximum time between two view updates of a node.
  duration MaxViewLag = std::chrono::seconds(5);
};

/// What callers observed, compared with the true owners.
struct world_outcome {
  std::uint64_t Opened = 0;
  /// Flows reset although their owner is alive: a fault of the system.
  std::uint64_t BrokenPlanned = 0;
  /// Flows reset whose owner died or restarted.
  std::uint64_t BrokenByDeath = 0;
  /// Packets of established flows accepted by an agent that does not own them.
  std::uint64_t Misrouted = 0;
  /// SYNs answered by a reset.
  std::uint64_t RefusedOpen = 0;
  /// Longest time to a reset, from the owner's death or from the flow's first
  /// packet after it if that was later.
  duration MaxResetDelay{};
  /// Packets of established flows that reached their agent, and the number of
  /// agents that such packets visited.
  std::uint64_t Deliveries = 0;
  std::uint64_t Visits = 0;
};

/// One simulation.
class path_world {
public:
  static constexpr duration Step = std::chrono::milliseconds(10);

  explicit path_world(const world_settings &Settings);
  ~path_world();

  instant now() const { return Now; }
  void advanceTime(duration Time);

  void openFlow(std::uint32_t Number);
  void closeFlow(std::uint32_t Number);
  /// If on, callers reopen flows that were reset, and reconnect from the same
  /// port within some seconds when their host drains, as HTTP/2 callers do on
  /// GOAWAY.
  void setReconnecting(bool On) { Reconnecting = On; }

  void addHost();
  void drainHost(std::uint32_t Host);
  /// Ends the process without notice. The fleet detects it after
  /// \p DetectedAfter.
  void killHost(std::uint32_t Host, duration DetectedAfter);
  /// Pauses the host's process for \p Time, after which it receives the packets
  /// that arrived meanwhile. This happens to VMs that are migrated or get no
  /// CPU time.
  void freezeHost(std::uint32_t Host, duration Time) {
    Hosts[Host].FrozenUntil = Now + Time;
  }
  /// Restarts the process with a new incarnation and no flows.
  void restartHost(std::uint32_t Host);
  /// Stops a drained host. Returns false if it still has flows.
  bool removeHost(std::uint32_t Host);

  std::size_t hosts() const { return Hosts.size(); }
  bool takesNewFlows(std::uint32_t Host) const;
  bool isDraining(std::uint32_t Host) const {
    return Hosts[Host].Alive && Hosts[Host].Draining;
  }
  /// Number of flows that the host's core owns.
  std::size_t flowsOf(std::uint32_t Host) const;
  std::size_t establishedFlows() const;
  /// Flows that have waited for an answer for longer than \p Time.
  std::size_t stuckFlows(duration Time) const;
  /// Maximum / mean number of flows over the hosts that accept new ones.
  double imbalance() const;
  std::size_t generations() const;
  std::uint64_t fromCache() const;

  const world_outcome &outcome() const { return Outcome; }

private:
  struct held_flow {
    std::uint32_t CallerNext = 0;
    std::uint32_t OurInitial = 0;
    bool Established = false;
  };
  struct host {
    std::string Name;
    endpoint Agent;
    std::uint32_t Incarnation = 1;
    bool Alive = true;
    bool ConsideredAlive = true; // By the fleet.
    bool Draining = false;
    instant DiedAt;
    instant FrozenUntil;
    std::unique_ptr<flow_owner> Core;
    std::unordered_map<flow_key, held_flow, flow_key_hash> Stack;
    std::uint64_t Version = 0;
    instant NextView;
  };
  enum class caller_state { SynSent, Established, Closed, Reset };
  struct caller {
    flow_key Flow;
    caller_state State = caller_state::Closed;
    std::uint32_t Initial = 0;
    std::uint32_t Next = 0;
    std::uint32_t Expected = 0;
    bool Unacknowledged = false;
    instant LastSend;
    instant WaitingSince;
    std::uint32_t Owner = 0;
    std::uint32_t OwnerIncarnation = 0;
  };
  struct balancer {
    std::unique_ptr<balancer_core> Core;
    std::uint64_t Version = 0;
    instant NextView;
  };
  enum class datagram_kind { ToBalancer, Routed, Peer, ToCaller, Notice };
  struct queued_datagram {
    datagram_kind Kind;
    endpoint From;
    endpoint To;
    std::vector<std::uint8_t> Bytes;
    peer_message Message;
    std::uint32_t Host = 0;
    std::uint32_t Incarnation = 0;
  };

  std::uint64_t below(std::uint64_t Bound);
  void enqueue(queued_datagram Datagram, bool MayBeLost);
  void deliver(const queued_datagram &Datagram);

  void startCore(std::uint32_t Host);
  std::optional<std::uint32_t> hostAt(const endpoint &Agent) const;
  void takeRouted(host &Host, std::uint32_t Number,
                  const queued_datagram &Datagram);
  void takeIntoStack(host &Host, std::uint32_t Number, const tcp_packet &Packet,
                     const routed_packet &Routed);
  void answer(host &Host, std::uint32_t Number, const flow_key &Flow,
              std::uint8_t Flags, std::uint32_t Sequence,
              std::uint32_t Acknowledged);
  void checkOwner(const tcp_packet &Packet, std::uint32_t Host);

  void callerSends(caller &Caller, std::uint8_t Flags, std::size_t Payload);
  void callerReceives(const queued_datagram &Datagram);
  void callerReset(caller &Caller);
  void stepCallers();
  bool leavesDrainingHost(const caller &Caller);

  void plan();
  void distributeViews();
  std::uint64_t laterVersion(std::uint64_t Held);

  world_settings Settings;
  std::mt19937_64 Random;
  instant Now{std::chrono::seconds(1000)};
  std::multimap<instant, queued_datagram> InFlight;
  std::vector<host> Hosts;
  std::vector<balancer> Balancers;
  std::unordered_map<std::uint32_t, caller> Callers;
  bool Reconnecting = false;

  /// All views so far, by version; the newest last.
  std::map<std::uint64_t, membership> Views;
  membership Newest;
  instant LastGeneration;
  instant LastPlan;
  world_outcome Outcome;
};

} // namespace marjoramrail::test

#endif // MARJORAMRAIL_TEST_PATH_WORLD_H
