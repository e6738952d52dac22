//===- agent_process.h - The agent beside one target ------------*- C++ -*-===//
///
/// \file
/// Connects the agent's core, the TCP stack, the request proxy and the
/// heartbeats to the balancers to one event loop.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DAEMONS_AGENT_AGENT_PROCESS_H
#define MARJORAMRAIL_DAEMONS_AGENT_AGENT_PROCESS_H

#include "agent_settings.h"
#include "flow_handler.h"
#include "kernel_stream.h"
#include "marjoramrail/agent.h"
#include "marjoramrail/fleet.h"
#include "marjoramrail/platform.h"
#include "marjoramrail/proxy.h"
#include "marjoramrail/timeline.h"

#include <unordered_map>

namespace marjoramrail {

/// One agent: owns callers' flows and forwards their bytes or requests to its
/// target.
class agent_process {
public:
  agent_process(event_loop &Loop, const agent_settings &Settings);
  ~agent_process();

  result<void> open();

  /// Accepts no new flows, finishes those in progress and stops the loop, at
  /// the latest after the settings' DrainBound.
  void terminate();

  /// Applies a view of the service. Views arrive in the answers to heartbeats.
  void applyView(const membership &Next);

private:
  void takeBatch(std::span<const datagram> Batch);
  void takePeerMessage(const datagram &Datagram);
  void takeRouted(const datagram &Datagram);
  void act(const packet_decision &Decision, const tcp_packet &Packet,
           const routed_packet &Came);
  void sendNotice(const routed_packet &Routed, const flow_key &Flow);
  void sendControl(const endpoint &To, bytes_view Bytes);
  void sendReset(const tcp_packet &Packet);
  void sendAnswer(bytes_view Packet);

  void useView(const membership &Members);
  void readRules(std::uint64_t SpecVersion);
  void takeRules(const platform_reply &Reply);
  void markFirstStart();
  void takeFirstStart(const platform_reply &Reply);
  void readBackFirstStart();
  void begin(bool NeverRan);
  bool isFirstEver(const service_view &View) const;
  void startOwner(const service_view &View, host_id Host);
  void startProxy(const service_view &View, host_id Host);
  void acceptPeer(std::unique_ptr<tcp_stream> Stream);
  std::optional<endpoint> relayOf(host_id Peer) const;
  void drain(const std::string &Why);
  void resume();
  void accept(std::unique_ptr<stack_flow> Flow);
  void onFlowEnded(const flow_key &Flow, handler_end End);
  void onDeclaredDead(std::uint32_t Incarnation);
  void tick();
  void finishIfIdle();
  agent_report describe() const;
  std::optional<drain_status> describeDrain() const;
  heartbeat_hooks heartbeatHooks();
  heartbeat_settings heartbeatSettings() const;
  status_page::hooks pages();
  void registerMetrics();
  void registerProxyMetrics();
  void record(event_kind What, const std::string &Flow, const std::string &Why);
  std::uint64_t &count(const char *Reason);

  event_loop &Loop;
  agent_settings Settings;
  std::uint32_t Seed;
  std::uint32_t Incarnation;
  metrics Metrics;
  timeline Line;
  status_page Page;
  udp_socket Socket;
  tcp_stack Stack;
  heartbeat_sender HeartbeatSender;
  tcp_listener RelayListener;
  std::optional<platform_client> Platform;
  std::optional<drain_reporter> DrainReporter;
  std::unique_ptr<flow_owner> Owner;
  std::unique_ptr<request_proxy> Proxy;
  std::optional<membership> Members;
  /// The version of the service's rules that was requested last.
  std::uint64_t RequestedRulesVersion = 0;
  bool RulesKnown = false;
  /// No agent ran on this host before, so it cannot have lost key records.
  bool NeverRan = false;
  bool Begun = false;
  std::map<std::uint64_t, std::unique_ptr<peer_connection>> PeerConnections;
  std::uint64_t LastPeerConnection = 0;
  std::optional<endpoint> Address;
  std::unordered_map<flow_key, std::unique_ptr<flow_handler>, flow_key_hash>
      Flows;
  instant LastConfirmed;
  bool Draining = false;
  std::int64_t DrainingSinceMs = 0;
  bool Stopping = false;
  bool Finished = false;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_DAEMONS_AGENT_AGENT_PROCESS_H
