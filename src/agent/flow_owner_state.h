//===- flow_owner_state.h - Implementation of flow_owner --------*- C++ -*-===//
///
/// \file
/// Declares the state that the source files of flow_owner share: flow_owner.cpp
/// (views and public functions), packet_routing.cpp (decisions on packets) and
/// peer_messaging.cpp (messages to and from other agents).
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_AGENT_FLOW_OWNER_STATE_H
#define MARJORAMRAIL_SRC_AGENT_FLOW_OWNER_STATE_H

#include "agent/flow_table.h"
#include "agent/generation_activation.h"
#include "agent/load_share.h"
#include "agent/neighbour_ring.h"
#include "agent/peer_monitor.h"
#include "marjoramrail/agent.h"

#include <algorithm>

namespace marjoramrail {

using namespace internal;

namespace internal {

/// Passed packets of one sender are acknowledged at most this often.
inline constexpr duration AcknowledgementInterval =
    std::chrono::milliseconds(50);

/// The agent to which the SYN of a flow was passed.
struct syn_redirect {
  endpoint To;
  instant Until;
};

} // namespace internal

struct flow_owner::impl {
  flow_owner_settings Settings;
  flow_owner_hooks Hooks;
  flow_table Table;
  generation_activation Activation;
  load_share Share;
  peer_monitor Monitor;
  neighbour_ring Ring;

  std::optional<service_view> View;
  /// Routers over all generations together, and over each one, newest first.
  std::optional<service_router> Router;
  std::vector<service_router> PerGeneration;
  std::vector<endpoint> Peers;
  std::unordered_map<flow_key, syn_redirect, flow_key_hash> Redirects;
  std::map<endpoint, instant> LastAcknowledgementSent;

  bool IsDraining = false;
  instant FirstViewAt;
  instant ViewConfirmedAt;
  bool HasPeerContact = false;
  std::uint64_t NewestPeerGeneration = 0;
  instant LastReports;
  instant LastReportRequest;
  std::size_t NextReport = 0;
  std::array<std::uint64_t, PacketReasons> Counts{};

  impl(const flow_owner_settings &Settings, flow_owner_hooks Hooks)
      : Settings(Settings), Hooks(std::move(Hooks)), Activation(Settings.Host),
        Share(Settings.Host, Settings.MaxSharePercent) {}

  void applyView(const service_view &Newer, instant Now);
  bool isViewCurrent(instant Now) const;
  std::uint64_t newestGeneration() const;
  const target *find(const endpoint &Agent) const;
  const target *find(host_id Host) const;

  packet_decision decide(const routed_packet &Routed, const tcp_packet &Packet,
                         instant Now);
  packet_decision decideSyn(const routed_packet &Routed,
                            const tcp_packet &Packet, instant Now);
  std::optional<packet_decision> repeatRedirect(const routed_packet &Routed,
                                                const tcp_packet &Packet,
                                                instant Now);
  packet_decision returnSyn(const routed_packet &Routed,
                            const tcp_packet &Packet,
                            const std::vector<endpoint> &Others, instant Now);
  packet_decision redirectSyn(const routed_packet &Routed,
                              const tcp_packet &Packet,
                              const std::vector<endpoint> &Next,
                              packet_reason Reason, instant Now);
  std::vector<endpoint> candidates(const flow_key &Flow, std::size_t Generation,
                                   bool &Included) const;
  packet_decision passToNext(routed_packet Routed, const tcp_packet &Packet,
                             instant Now);
  bool skipToNext(routed_packet &Routed, bool &SkippedUnresponsive) const;
  bool extend(routed_packet &Routed, const flow_key &Flow) const;
  packet_decision onListExhausted(const routed_packet &Routed,
                                  const tcp_packet &Packet,
                                  bool SkippedUnresponsive, instant Now) const;

  std::size_t neededPosition(const flow_key &Flow) const;
  std::uint64_t oldestNeeded() const;

  peer_message message(peer_message_kind Kind) const;
  void sendAcknowledgement(const endpoint &To, instant Now);
  void answerProbe(const peer_message &Probe, const endpoint &From) const;
  void handleReport(const peer_message &Message, const endpoint &From,
                    instant Now);
  void handleIndirectProbe(const peer_message &Message, const endpoint &From);
  void handleAcknowledgement(const peer_message &Message, const endpoint &From);
  void sendReports(instant Now);
  void requestMissingReports(instant Now);
  void sendProbes(instant Now);
  void probeNeighbour(instant Now);
  void reportNeighbour(bool WasSuspect, instant Now);
  void sendReport(const endpoint &To, bool ReplyWanted) const;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_SRC_AGENT_FLOW_OWNER_STATE_H
