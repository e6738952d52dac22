//===- hearing.h - The hosts that announce to this balancer -----*- C++ -*-===//
///
/// \file
/// Takes announcements, answers them with the balancers that the host should
/// announce to, pushes views to agents, and tells the holder of the service's
/// shard where the view disagrees with what is heard. Nothing is written to the
/// platform here: a fleet of 130,000 hosts sends as many heartbeats a second.
///
/// Every so often it asks a random target of a random view whether it lives.
/// That finds hosts that no balancer hears, e.g. when all that heard a host
/// went with its zone, at a cost that does not grow with the fleet.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_HEARTBEAT_RECEIVER_H
#define MARJORAMRAIL_FLEET_HEARTBEAT_RECEIVER_H

#include "fleet/view_store.h"

#include <random>

namespace marjoramrail::internal {

class heartbeat_receiver {
public:
  struct hooks {
    /// Sends to an agent; false if the byte budget is spent (views only).
    std::function<bool(const endpoint &, const message &)> Send;
    /// To the holder of the service's shard.
    std::function<void(report_kind, const host_heartbeat &)> Report;
    /// The control endpoints that a host should announce to, best first.
    std::function<std::vector<endpoint>(const std::string &Host)> Assigned;
    /// True if peers still answer this node.
    std::function<bool()> PeersAnswer;
  };

  heartbeat_receiver(timer_service &Timers, const view_store &Views,
                     duration SilenceTimeout, endpoint Self, std::uint64_t Seed,
                     hooks Hooks);

  void take(const endpoint &From, const host_heartbeat &Heartbeat);

  /// Asks a host on behalf of a holder, and reports either way.
  void probe(const probe_request &Request);

  /// Sends the view to the agents of the service that this node hears first.
  void viewTaken(const membership &Members);

  void tick();

  std::size_t size() const { return Hosts.size(); }

private:
  struct host {
    host_heartbeat Last;
    endpoint From;
    instant ReceivedAt;
    /// A holder waits for word of it, good or bad.
    bool ProbeRequested = false;
    /// It does not announce here: forgotten once the holder has its answer.
    bool ProbeOnly = false;
    int Pings = 0;
    instant PingedAt;
    std::optional<instant> AnsweredAt;
    instant ReportedAt;
    std::optional<std::uint64_t> NeedsReported;
    instant NeedsAt;
    instant PushedAt;
    std::uint64_t PushedVersion = 0;
    /// This node is the first of those that the host announces to.
    bool Primary = false;
  };

  void answer(host &Host, const std::vector<endpoint> &Assigned);
  /// How long this host may be silent here.
  duration timeoutFor(const host &Host) const;
  void report(host &Host);
  bool differs(const host_heartbeat &Heartbeat,
               const membership *Members) const;
  void push(host &Host, const membership &Members);
  bool checkTimeout(host &Host, bool Trusted);
  bool isInView(const host &Host) const;
  bool areMostUnresponsive() const;
  void probeRandomTarget();

  timer_service &Timers;
  const view_store &Views;
  duration SilenceTimeout;
  endpoint Self;
  std::mt19937_64 Random;
  hooks Hooks;
  std::map<std::string, host> Hosts;
  instant RandomProbeAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_HEARTBEAT_RECEIVER_H
