//===- fleet_link.h - Connects a balancer to its fleet ----------*- C++ -*-===//
///
/// \file
/// Connects fleet_node to the control socket and to the platform.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FLEET_LINK_H
#define MARJORAMRAIL_DAEMONS_FLEET_LINK_H

#include "balancer_settings.h"
#include "marjoramrail/fleet.h"

namespace marjoramrail::daemons {

class fleet_link {
public:
  using view_hook = std::function<void(const membership &)>;

  fleet_link(event_loop &Loop, const program_settings &Settings,
             view_hook OnView);

  result<void> open() { return Socket.open(Settings.ControlListen); }

  fleet_node &node() { return Node; }

  void show(metrics &Metrics) const;

private:
  void receive(std::span<const datagram> Batch);
  fleet_settings nodeSettings() const;
  fleet_hooks nodeHooks(view_hook OnView);

  program_settings Settings;
  udp_socket Socket;
  platform_client Platform;
  fleet_node Node;
  /// Dropped datagrams from hosts that are not in ControlPeers.
  std::uint64_t ForeignDatagrams = 0;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FLEET_LINK_H
