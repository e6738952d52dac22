//===- forward_agent_impl.h - The parts of the agent ------------*- C++ -*-===//
///
/// \file
/// The agent's core behind its public face. routed_packets.cpp takes what
/// balancers and other agents send, target_packets.cpp what the target writes
/// and how it answers, forward_agent.cpp does the rest.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_FORWARD_AGENT_IMPL_H
#define MARJORAMRAIL_FORWARD_FORWARD_AGENT_IMPL_H

#include "forward/decline_watch.h"
#include "forward/failure_watch.h"
#include "forward/offered_packets.h"
#include "forward/target_load.h"

#include <set>

namespace marjoramrail {

struct forward_agent::impl {
  impl(const forward_agent_settings &Settings, segment_codec Codec,
       forward_agent_hooks Hooks)
      : Settings(Settings), Codec(std::move(Codec)), Hooks(std::move(Hooks)) {}

  agent_outcome onRouted(const routed_packet &Routed, instant Now);
  agent_outcome onNewFlow(const routed_packet &Routed, const segment &Segment,
                          instant Now);
  agent_outcome onFlowPacket(const routed_packet &Routed,
                             const segment &Segment, instant Now);
  agent_outcome deliver(const routed_packet &Routed, const segment &Segment,
                        bool NeedsAnswer, instant Now);
  agent_outcome passToNext(routed_packet Routed, const tcp_packet &Head,
                           std::string_view Why);
  void passToNextIncomplete(routed_packet Routed, const tcp_packet &Head);
  agent_outcome onListExhausted(const routed_packet &Routed,
                                const tcp_packet &Head, std::string_view Why);
  agent_outcome requestNextList(routed_packet Routed);
  agent_outcome onDeclined(const segment &Segment, bytes_view Bytes,
                           instant Now);
  bool sendReset(const tcp_packet &Packet);
  agent_outcome resetLostFlow(const tcp_packet &Head);
  void noteDeclined(const flow_key &Flow, instant Now);
  void noteAnswer(const flow_key &Flow, bool Failed, instant Now);
  void noteAbortedRequest(const tcp_packet &Head, instant Now);
  void logFailureState(const flow_key &Flow);
  agent_outcome onAnswer(segment Segment, bytes_view Bytes, instant Now);
  void addReportReceiver(const routed_packet &Routed, instant Now);
  void addOneTimeReceiver(const routed_packet &Routed);
  void sendOwnerNotice(const routed_packet &Routed, const flow_key &Flow,
                       instant Now);
  void resetAll(instant Now);
  void resetFlow(const open_flow &Open, std::string_view Why);
  void reportToLastBalancer(instant Now);
  void detectIsolation(instant Now);
  void sendReport(const endpoint &Balancer, instant Now);
  void reportNow(instant Now);
  void reportOnce(instant Now);
  load_report report(instant Now) const;
  void logEvent(event_kind What, std::string_view Why, const flow_key &Flow,
                const endpoint &Agent);

  forward_agent_settings Settings;
  segment_codec Codec;
  forward_agent_hooks Hooks;
  internal::offered_packets Offered;
  internal::target_load Load;
  /// Balancers that have use for this target's load, and when they were heard.
  std::map<endpoint, instant> Balancers;
  /// Those whose packets only came by on a walk: they need to know that this
  /// agent is there. Reporting to them for seconds, after a loss of power all
  /// agents of a site would report to all balancers.
  std::set<endpoint> ReportOnceTo;
  /// The last balancer heard, and when it was heard or called last.
  std::optional<std::pair<endpoint, instant>> LastBalancer;
  /// When a balancer was heard last, or the store asked in its place.
  std::optional<instant> LastContactOrCheckAt;
  bool Admitting = false;
  bool TargetGone = false;
  /// The target has not answered the last thing put to it.
  bool TargetUnresponsive = false;
  internal::decline_watch Declines;
  internal::failure_watch Failures;
  std::uint32_t Slots = 1;
  instant WarmUntil;
  forward_agent_counters Counters;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FORWARD_FORWARD_AGENT_IMPL_H
