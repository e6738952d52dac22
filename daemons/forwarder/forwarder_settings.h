//===- forwarder_settings.h - Forwarder settings ----------------*- C++ -*-===//
///
/// \file
/// Settings of the forwarding processes: JSON with comments, validated at the
/// start. docs/SETTINGS.md lists the fields.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_FORWARDER_SETTINGS_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_FORWARDER_SETTINGS_H

#include "marjoramrail/base.h"
#include "marjoramrail/mechanism.h"
#include "marjoramrail/places.h"

#include <string>
#include <vector>

namespace marjoramrail::daemons {

struct balancer_program_settings {
  std::string Name;
  std::string Zone;
  /// Receives callers' packets; answers are sent to the same port of the
  /// caller.
  endpoint CallersListen;
  /// Serves the site's readiness probe.
  endpoint ReadyListen;
  /// Messages of balancers and agents (UDP); copies of objects for peers
  /// (HTTP).
  endpoint PeersListen;
  endpoint MetricsListen;
  endpoint Store;
  /// VMs of other balancers, used until the store has listed them. The port is
  /// that of PeersListen.
  std::vector<endpoint> Seeds;
  duration FlowLife;
  /// Time from the stop signal to the forced end.
  duration Grace;
  /// The region of each zone, for routes that are restricted to regions.
  zone_regions Regions;
  /// Routed packets contain the service level of their route. Agents of earlier
  /// versions cannot read such packets.
  bool ServiceLevels = false;
  mechanism_set DisabledMechanisms;
};

struct agent_program_settings {
  std::string Name;
  std::string Zone;
  std::string Service;
  /// Receives routed packets from balancers and other agents.
  endpoint RoutedListen;
  /// Receives the packets that the target sends to callers.
  endpoint TargetPacketsListen;
  /// Receives the target's reports (HTTP).
  endpoint TargetCallsListen;
  endpoint ReadyListen;
  endpoint MetricsListen;
  /// The target's own address.
  endpoint Target;
  endpoint Store;
  duration FlowLife;
  /// Balancers (their PeersListen address) that are requested to register the
  /// target if the store rejects this agent's calls.
  std::vector<endpoint> Balancers;
  /// Checkpoints open flows in the store, so that they can be reset after the
  /// VM has lost power.
  bool KeepFlows = false;
  /// The interval at which the target reports.
  duration TargetReportPeriod;
  /// By how much a target that is warming up may exceed its rate of new flows;
  /// nothing if the site states no limit.
  std::optional<warmup_limit::settings> Warmup;
  mechanism_set DisabledMechanisms;

  /// Name of the target's objects in the store.
  std::string entryName() const { return "target." + Name; }
};

result<balancer_program_settings> readBalancerSettings(const std::string &Path);
result<agent_program_settings> readAgentSettings(const std::string &Path);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_FORWARDER_SETTINGS_H
