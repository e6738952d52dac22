//===- balancer_process.h - The core joined to sockets ----------*- C++ -*-===//
///
/// \file
/// One balancer: the core, the socket towards fabric and agents, the status
/// page and the time line, on one loop.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_BALANCER_PROCESS_H
#define MARJORAMRAIL_DAEMONS_BALANCER_PROCESS_H

#include "balancer_settings.h"
#include "marjoramrail/runtime.h"
#include "marjoramrail/timeline.h"

namespace marjoramrail::daemons {

class balancer_process {
public:
  balancer_process(event_loop &Loop, program_settings Settings);

  /// Opens the sockets and takes the settings' views.
  result<void> open();

  /// SIGTERM: says that it is not ready, goes on for the grace period and
  /// stops the loop.
  void shutDown();

private:
  void takeView(const service_view &View);
  void receive(std::span<const datagram> Batch);
  void countFaults();
  void record(event_kind What, const std::string &Service, std::string Why);

  event_loop &Loop;
  program_settings Settings;
  metrics Metrics;
  timeline Events;
  udp_socket Fabric;
  balancer_core Core;
  status_page Status;
  bool Stopping = false;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_BALANCER_PROCESS_H
