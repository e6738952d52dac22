//===- balancer_process.h - One balancer as a process -----------*- C++ -*-===//
///
/// \file
/// The parts of a balancer on one loop: the packets' port, its part in the
/// fleet, the status page and the time line.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_BALANCER_PROCESS_H
#define MARJORAMRAIL_DAEMONS_BALANCER_PROCESS_H

#include "balancer_settings.h"
#include "fleet_link.h"
#include "marjoramrail/timeline.h"
#include "packet_port.h"

namespace marjoramrail::daemons {

class balancer_process {
public:
  balancer_process(event_loop &Loop, const program_settings &Settings);

  result<void> open();

  /// SIGTERM: gives the duties back, says that it is not ready, routes on for
  /// the grace period and stops the loop.
  void shutDown();

private:
  status_page::hooks pages();
  void takeView(const membership &Members);
  void reportFleetContact();
  void record(event_kind What, const std::string &Service, std::string Why);

  event_loop &Loop;
  program_settings Settings;
  metrics Metrics;
  timeline Events;
  packet_port Port;
  fleet_link Fleet;
  status_page Status;
  bool Stopping = false;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_BALANCER_PROCESS_H
