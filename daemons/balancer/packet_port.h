//===- packet_port.h - The balancer's core on its socket --------*- C++ -*-===//
///
/// \file
/// Joins balancer_core to the UDP socket towards fabric and agents. A part of
/// its own, so that the bench measures what the daemon runs.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_PACKET_PORT_H
#define MARJORAMRAIL_DAEMONS_PACKET_PORT_H

#include "marjoramrail/balancer.h"
#include "marjoramrail/runtime.h"

namespace marjoramrail::daemons {

class packet_port {
public:
  packet_port(event_loop &Loop, const balancer_settings &Settings);

  result<void> open(const endpoint &Local) { return Socket.open(Local); }
  endpoint local() const { return Socket.local(); }

  balancer_core &core() { return Core; }

  /// Shows the core's counters on the metrics page.
  void show(metrics &Metrics) const;

private:
  void receive(std::span<const datagram> Batch);

  event_loop &Loop;
  udp_socket Socket;
  balancer_core Core;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_PACKET_PORT_H
