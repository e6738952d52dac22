//===- packet_port.h - The balancer's core on its socket --------*- C++ -*-===//
///
/// \file
/// Connects balancer_core to the UDP socket to the fabric and the agents. It is
/// separate from balancer_process so that the benchmark measures the code that
/// the daemon runs.
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

  /// Exports the core's counters to the metrics page.
  void show(metrics &Metrics) const;

private:
  void receive(std::span<const datagram> Batch);

  event_loop &Loop;
  udp_socket Socket;
  balancer_core Core;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_PACKET_PORT_H
