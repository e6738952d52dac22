//===- balancer_settings.h - Settings of a balancer -------------*- C++ -*-===//
///
/// \file
/// The settings file of marjoramrail-balancer, checked as a whole.
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
  /// Callers' packets from the fabric, and notices of agents (UDP).
  endpoint FabricListen;
  /// Announcements, and what balancers tell each other (UDP).
  endpoint ControlListen;
  /// /metrics, /healthz, /readyz, /status, /fleet, /timeline.
  endpoint StatusListen;
  /// Servers of the platform's object API.
  std::vector<endpoint> Platform;
  /// Control addresses of balancers to begin with.
  std::vector<endpoint> Balancers;
  /// Who may send to ControlListen.
  allow_list ControlPeers;
  /// How long packets are still routed after SIGTERM, so that the fabric can
  /// learn from /readyz to send them elsewhere.
  duration Grace{};
  balancer_settings Core;
};

/// Fails with every fault of the file.
result<program_settings> readSettings(const std::string &Path);

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_BALANCER_SETTINGS_H
