//===- balancer_process.h - One balancer as a process -----------*- C++ -*-===//
///
/// \file
/// Connects the parts of a balancer to one event loop: the packet port, the
/// fleet node, the status page and the timeline.
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

  /// Handles SIGTERM: releases the shard leases, reports not ready, keeps
  /// routing for the grace period and then stops the loop.
  void shutDown();

private:
  status_page::hooks pages();
  void applyView(const membership &Members);
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
