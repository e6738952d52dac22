//===- forwarder_settings.h - Settings of the forwarding processes -*- C++
//-*-===//
///
/// \file
/// JSON with comments, checked at the start; docs/SETTINGS.md lists the fields.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_FORWARDER_SETTINGS_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_FORWARDER_SETTINGS_H

#include "marjoramrail/base.h"
#include "marjoramrail/mechanism.h"

#include <string>
#include <vector>

namespace marjoramrail::daemons {

struct balancer_program_settings {
  std::string Name;
  std::string Zone;
  /// Where callers' packets come in; answers leave for the same port.
  endpoint CallersListen;
  /// Where the site asks whether this balancer may get traffic.
  endpoint ReadyListen;
  /// Balancers and agents talk here (UDP), peers copy objects (HTTP).
  endpoint PeersListen;
  endpoint MetricsListen;
  endpoint Store;
  /// VMs of balancers to ask before the store has named any, on the port of
  /// PeersListen.
  std::vector<endpoint> Seeds;
  duration FlowLife;
  /// From the signal to stop to the forced end.
  duration Grace;
  mechanism_set DisabledMechanisms;
};

struct agent_program_settings {
  std::string Name;
  std::string Zone;
  std::string Service;
  /// Routed packets, from balancers and other agents.
  endpoint RoutedListen;
  /// Packets that the target sends.
  endpoint TargetPacketsListen;
  /// Reports that the target sends.
  endpoint TargetCallsListen;
  endpoint ReadyListen;
  endpoint MetricsListen;
  /// The target itself.
  endpoint Target;
  endpoint Store;
  duration FlowLife;
  /// Balancers that may announce the target if the store refuses this agent, at
  /// the address of their PeersListen.
  std::vector<endpoint> Balancers;
  /// Open flows are kept in the store for the case that the VM loses power.
  bool KeepFlows = false;
  mechanism_set DisabledMechanisms;

  /// The name of the target's objects in the store.
  std::string entryName() const { return "target." + Name; }
};

result<balancer_program_settings> readBalancerSettings(const std::string &Path);
result<agent_program_settings> readAgentSettings(const std::string &Path);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_FORWARDER_SETTINGS_H
