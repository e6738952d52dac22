//===- flow_owner_state.h - The inside of flow_owner ------------*- C++ -*-===//
///
/// \file
/// Declares what the sources of flow_owner share: the view and the public calls
/// (flow_owner), the way of a packet (packet_way), talk with peers (peer_talk).
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_AGENT_FLOW_OWNER_STATE_H
#define MARJORAMRAIL_SRC_AGENT_FLOW_OWNER_STATE_H

#include "agent/flow_table.h"
#include "agent/generation_gate.h"
#include "agent/load_share.h"
#include "agent/neighbour_watch.h"
#include "agent/peer_watch.h"
#include "marjoramrail/agent.h"

#include <algorithm>

namespace marjoramrail {

using namespace internal;

namespace internal {

/// One answer to passed-on packets serves all of this time.
inline constexpr duration HeardPeriod = std::chrono::milliseconds(50);

/// Where a SYN was handed on to.
struct hand_on {
  endpoint To;
  instant Until;
};

} // namespace internal

struct flow_owner::impl {
  flow_owner_settings Settings;
  flow_owner_hooks Hooks;
  flow_table Table;
  generation_gate Gate;
  load_share Share;
  peer_watch Watch;
  neighbour_watch Ring;

  std::optional<service_view> View;
  /// All generations at once, and each for itself, newest first.
  std::optional<service_router> Router;
  std::vector<service_router> PerGeneration;
  std::vector<endpoint> Peers;
  std::unordered_map<flow_key, hand_on, flow_key_hash> HandOns;
  std::map<endpoint, instant> LastHeardSent;

  bool IsDraining = false;
  instant FirstView;
  instant ViewHeard;
  bool PeerHeard = false;
  std::uint64_t NewestKnownToPeers = 0;
  instant LastReports;
  instant LastAsked;
  std::size_t NextReport = 0;
  std::array<std::uint64_t, PacketReasons> Counts{};

  impl(const flow_owner_settings &Settings, flow_owner_hooks Hooks)
      : Settings(Settings), Hooks(std::move(Hooks)), Gate(Settings.Host),
        Share(Settings.Host, Settings.MaxSharePercent) {}

  void takeView(const service_view &Newer, instant Now);
  bool isConfirmed(instant Now) const;
  std::uint64_t newestGeneration() const;
  const target *find(const endpoint &Agent) const;
  const target *find(host_id Host) const;

  packet_decision decide(const routed_packet &Routed, const tcp_packet &Packet,
                         instant Now);
  packet_decision decideSyn(const routed_packet &Routed,
                            const tcp_packet &Packet, instant Now);
  std::optional<packet_decision> repeatHandOn(const routed_packet &Routed,
                                              const tcp_packet &Packet,
                                              instant Now);
  packet_decision lastResort(const routed_packet &Routed,
                             const tcp_packet &Packet,
                             const std::vector<endpoint> &Others, instant Now);
  packet_decision handOn(const routed_packet &Routed, const tcp_packet &Packet,
                         const std::vector<endpoint> &Next,
                         packet_reason Reason, instant Now);
  std::vector<endpoint> candidates(const flow_key &Flow, std::size_t Generation,
                                   bool &Included) const;
  packet_decision passOn(routed_packet Routed, const tcp_packet &Packet,
                         instant Now);
  bool skipToNext(routed_packet &Routed, bool &SkippedSilent) const;
  bool extend(routed_packet &Routed, const flow_key &Flow) const;
  packet_decision endOfList(const routed_packet &Routed,
                            const tcp_packet &Packet, bool SkippedSilent,
                            instant Now) const;

  std::size_t neededPosition(const flow_key &Flow) const;
  std::uint64_t oldestNeeded() const;

  peer_message message(peer_message_kind Kind) const;
  void answer(const endpoint &To, instant Now);
  void answerProbe(const peer_message &Probe, const endpoint &From) const;
  void takeReport(const peer_message &Message, const endpoint &From,
                  instant Now);
  void takeProbeFor(const peer_message &Message, const endpoint &From);
  void takeHeard(const peer_message &Message, const endpoint &From);
  void sendReports(instant Now);
  void askForWords(instant Now);
  void sendProbes(instant Now);
  void probeNeighbour(instant Now);
  void tellOfNeighbour(bool WasSuspect, instant Now);
  void sendReport(const endpoint &To, bool ReplyWanted) const;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_SRC_AGENT_FLOW_OWNER_STATE_H
