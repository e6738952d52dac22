//===- forward_balancer_process.h - A forwarding balancer -------*- C++ -*-===//
///
/// \file
/// Connects the forwarding core and the directory to the event loop and the
/// sockets of an entry VM.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_FORWARDER_FORWARD_BALANCER_PROCESS_H
#define MARJORAMRAIL_DAEMONS_FORWARDER_FORWARD_BALANCER_PROCESS_H

#include "callback_log.h"
#include "due_timer.h"
#include "event_log.h"
#include "forwarder_settings.h"
#include "routes_log.h"
#include "sent_bytes.h"
#include "site_adapter.h"
#include "store_calls.h"

#include <unordered_set>

namespace marjoramrail::daemons {

class forward_balancer_process {
public:
  forward_balancer_process(event_loop &Loop,
                           const balancer_program_settings &Settings,
                           const site_adapter &Adapter);

  /// Opens the sockets and starts to load routes and targets.
  result<void> open();
  /// Reports not ready so that the site takes this balancer out of rotation,
  /// forwards until no more packets arrive, then stops the loop.
  void shutDown();
  /// Applies those settings that may change while the process runs.
  void reload(const balancer_program_settings &Settings);

private:
  void onCallers(std::span<const datagram> Batch);
  void onPeers(std::span<const datagram> Batch);
  std::optional<instant> repeatLookups(instant Now);
  void takeTargets();
  void listFromPeer(const endpoint &Peer, const std::string &Kind,
                    platform_callback Done);
  message_range rangeOfAgent(const endpoint &Agent) const;
  void endWhenQuiet();
  status_page::hooks readyPage();
  status_page::hooks peerPage();
  directory_hooks directoryHooks();
  flow_collector::hooks flowHooks();
  forward_balancer_hooks coreHooks();
  void showMetrics();

  event_loop &Loop;
  balancer_program_settings Settings;
  site_adapter Adapter;
  event_log Log;
  metrics Metrics;
  callback_log Callbacks;
  routes_log RoutesLog;
  store_calls Calls;
  sent_bytes Sent;
  callback_hook OnCallback;
  udp_socket Callers;
  udp_socket Peers;
  platform_client Store;
  std::unique_ptr<platform_client> PeerClient;
  /// The addresses of the agents of the own zone.
  std::unordered_set<std::uint32_t> OwnZoneAgents;
  forward_balancer Core;
  directory Directory;
  flow_collector Flows;
  status_page ReadyPage;
  status_page PeerPage;
  status_page MetricsPage;
  due_timer LookupRepetitions;
  bool Stopping = false;
  instant StopAskedAt;
  instant LastPacketAt;
  std::uint64_t &Packets;
};

} // namespace marjoramrail::daemons

#endif // MARJORAMRAIL_DAEMONS_FORWARDER_FORWARD_BALANCER_PROCESS_H
