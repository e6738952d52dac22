//===- balancer_settings.h - Settings of a balancer -------------*- C++ -*-===//
///
/// \file
/// The settings file of marjoramrail-balancer, validated as a whole.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_BALANCER_SETTINGS_H
#define MARJORAMRAIL_DAEMONS_BALANCER_SETTINGS_H

#include "allow_list.h"
#include "marjoramrail/balancer.h"

namespace marjoramrail::daemons {

struct program_settings {
  /// Unique in the fleet.
  std::string Name;
  std::string Zone;
  /// Receives callers' packets from the fabric and agents' owner notices (UDP).
  endpoint FabricListen;
  /// Receives heartbeats of agents and messages of other balancers (UDP).
  endpoint ControlListen;
  /// Serves /metrics, /healthz, /readyz, /status, /fleet and /timeline (HTTP).
  endpoint StatusListen;
  /// Servers of the platform's object API.
  std::vector<endpoint> Platform;
  /// Control addresses of the balancers to contact first.
  std::vector<endpoint> Balancers;
  /// Hosts that may send to ControlListen.
  allow_list ControlPeers;
  /// How long packets are still routed after SIGTERM, so that the fabric can
  /// find /readyz failing and send packets to other balancers.
  duration Grace{};
  balancer_settings Core;
};

/// Reads the file at \p Path. The failure lists every fault in it.
result<program_settings> readSettings(const std::string &Path);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_BALANCER_SETTINGS_H
