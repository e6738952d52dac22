//===- heartbeat_receiver.h - Heartbeats of target hosts --------*- C++ -*-===//
///
/// \file
/// Receives heartbeats of target hosts, replies with the balancers that the
/// host should send heartbeats to, pushes views to agents, and reports
/// differences between heartbeats and the view to the lease holder of the
/// service's shard. It writes nothing to the platform: a fleet of 130,000 hosts
/// sends as many heartbeats a second.
///
/// At a fixed interval it also probes a random target of a random view. This
/// finds hosts whose heartbeats no balancer receives, e.g. when a host failed
/// together with all balancers of its zone that received them, at a cost that
/// does not grow with the fleet.
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
    /// Sends to an agent; returns false if the byte budget is spent (views
    /// only).
    std::function<bool(const endpoint &, const message &)> Send;
    /// Reports to the lease holder of the service's shard.
    std::function<void(report_kind, const host_heartbeat &)> Report;
    /// Returns the control endpoints that a host should send heartbeats to,
    /// best first.
    std::function<std::vector<endpoint>(const std::string &Host)> Assigned;
    /// True if other balancers still respond to this node.
    std::function<bool()> PeersAnswer;
  };

  heartbeat_receiver(timer_service &Timers, const view_store &Views,
                     duration HeartbeatTimeout, endpoint Self,
                     std::uint64_t Seed, hooks Hooks);

  void take(const endpoint &From, const host_heartbeat &Heartbeat);

  /// Pings a host on behalf of a lease holder and reports the result either
  /// way.
  void probe(const probe_request &Request);

  /// Sends the view to those agents of the service whose primary balancer is
  /// this node.
  void viewTaken(const membership &Members);

  void tick();

  std::size_t size() const { return Hosts.size(); }

private:
  struct host {
    host_heartbeat Last;
    endpoint From;
    instant ReceivedAt;
    /// A lease holder waits for a report on this host, whether it responds or
    /// not.
    bool ProbeRequested = false;
    /// The host sends no heartbeats here; its entry is removed once the lease
    /// holder has been answered.
    bool ProbeOnly = false;
    int Pings = 0;
    instant PingedAt;
    std::optional<instant> AnsweredAt;
    instant ReportedAt;
    std::optional<std::uint64_t> NeedsReported;
    instant NeedsAt;
    instant PushedAt;
    std::uint64_t PushedVersion = 0;
    /// This node is the first of the balancers that the host sends heartbeats
    /// to.
    bool Primary = false;
  };

  void showView(const endpoint &To, const host_heartbeat &Heartbeat);
  void answer(host &Host, const std::vector<endpoint> &Assigned);
  /// Returns how long this host may send no heartbeat here before it is pinged.
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
  duration HeartbeatTimeout;
  endpoint Self;
  std::mt19937_64 Random;
  hooks Hooks;
  std::map<std::string, host> Hosts;
  instant RandomProbeAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_HEARTBEAT_RECEIVER_H
