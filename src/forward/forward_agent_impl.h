//===- forward_agent_impl.h - Implementation of the agent -------*- C++ -*-===//
///
/// \file
/// Implementation class of forward_agent, spread over five source files.
/// routed_packets.cpp handles packets from balancers and other agents;
/// target_packets.cpp handles packets from the target; request_holding.cpp
/// holds requests back while the target is busy; agent_policy.cpp applies what
/// balancers state of the configuration; forward_agent.cpp holds the reports,
/// the timers and the public interface.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_FORWARD_AGENT_IMPL_H
#define MARJORAMRAIL_FORWARD_FORWARD_AGENT_IMPL_H

#include "forward/agent_table.h"
#include "forward/decline_watch.h"
#include "forward/failure_watch.h"
#include "forward/held_packets.h"
#include "forward/level_cache.h"
#include "forward/offered_packets.h"
#include "forward/request_scheduler.h"
#include "forward/silence_watch.h"
#include "forward/target_load.h"

#include <map>
#include <optional>
#include <set>

namespace marjoramrail {

struct forward_agent::impl {
  impl(const forward_agent_settings &Settings, segment_codec Codec,
       forward_agent_hooks Hooks)
      : Settings(Settings), Codec(std::move(Codec)), Hooks(std::move(Hooks)),
        Scheduler(internal::endpoint_hash()(Settings.Self)),
        WarmupLimit(Settings.Warmup) {}

  agent_outcome onRouted(const routed_packet &Routed, instant Now);
  agent_outcome onNewFlow(const routed_packet &Routed, const segment &Segment,
                          instant Now);
  std::optional<flow_refusal> refusalOf(const routed_packet &Routed,
                                        const flow_key &Flow, instant Now);
  void applyPolicy(const flow_policy &Policy, instant Now);
  bool isWarmingUp(instant Now) const;
  void reportExhaustion(instant Now);
  agent_outcome onFlowPacket(const routed_packet &Routed,
                             const segment &Segment, instant Now);
  agent_outcome deliver(const routed_packet &Routed, const tcp_packet &Head,
                        bool NeedsAnswer, instant Now);
  std::optional<flow_refusal> capacityRefusal(const routed_packet &Routed,
                                              const flow_key &Flow,
                                              instant Now);
  std::size_t openingFlows(const flow_key &Except, instant Now);
  agent_outcome deliverInOrder(const routed_packet &Routed,
                               const tcp_packet &Head, bool BeginsRequest,
                               instant Now);
  bool mustWait(const routed_packet &Routed, const flow_key &Flow, instant Now);
  void noteHeld(const flow_key &Flow);
  bool schedules() const;
  routed_packet withSelfAsLastResort(routed_packet Routed) const;
  void finishRequest(const tcp_packet &Head, bool IsAnswer, bool Failed,
                     instant Now);
  void onFlowAccepted(const tcp_packet &Head);
  void endPreviousFlow(const tcp_packet &Head,
                       const internal::watched_flow *Watched, instant Now);
  agent_outcome hold(const routed_packet &Routed, const tcp_packet &Head,
                     instant Now);
  agent_outcome endHeldRequest(const routed_packet &Routed,
                               const tcp_packet &Head, instant Now);
  void release(const flow_key &Flow, instant Now);
  void releaseReady(instant Now);
  void dropRequest(const flow_key &Flow, instant Now);
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
  agent_outcome offer(const routed_packet &Routed, const tcp_packet &Head,
                      instant Now);
  void noteTargetPacket(const flow_key &Flow);
  void noteDeclined(const flow_key &Flow, instant Now);
  void noteAnswer(const flow_key &Flow, bool Failed, instant Now);
  void noteAbortedRequest(const tcp_packet &Head, instant Now);
  void logFailureState(const flow_key &Flow);
  agent_outcome onAnswer(segment Segment, bytes_view Bytes, instant Now);
  void addReportReceiver(const routed_packet &Routed, instant Now);
  void addOneTimeReceiver(const routed_packet &Routed);
  void sendOwnerNotice(const routed_packet &Routed, const flow_key &Flow,
                       instant Now);
  void notifyOwner(const endpoint &Balancer, const flow_key &Flow);
  void resetAll(instant Now);
  void resetFlow(const open_flow &Open, std::string_view Why);
  void reportToLastBalancer(instant Now);
  void detectIsolation(instant Now);
  void sendReport(const endpoint &Balancer, instant Now);
  void noteCapacityReader(const endpoint &Balancer);
  void reportNow(instant Now);
  void reportOnce(instant Now);
  load_report report(instant Now) const;
  load_report reportWithCapacity(instant Now);
  void logEvent(event_kind What, std::string_view Why, const flow_key &Flow,
                const endpoint &Agent);

  forward_agent_settings Settings;
  segment_codec Codec;
  forward_agent_hooks Hooks;
  internal::offered_packets Offered;
  internal::target_load Load;
  internal::request_scheduler Scheduler;
  internal::held_packets Held;
  internal::level_cache Levels;
  /// Balancers that get regular load reports, and when each last sent a
  /// message. A balancer is added when it sends a new flow, a packet of a known
  /// flow, or a lasting request for load reports.
  std::map<endpoint, instant> Balancers;
  /// Balancers that read reports with load_report::Capacity.
  std::set<endpoint> CapacityReaders;
  /// Balancers whose packets arrived here only during an owner lookup. They
  /// need a single report, as a sign that this agent is running. If they got
  /// reports for seconds instead, all agents of a site would report to all
  /// balancers after a loss of power.
  std::set<endpoint> ReportOnceTo;
  /// The balancer that was known last, and the time of its last message or of
  /// the last report sent to it.
  std::optional<std::pair<endpoint, instant>> LastBalancer;
  /// When a balancer last made contact, or when a check of the store's registry
  /// was last started because none had.
  std::optional<instant> LastContactOrCheckAt;
  bool Admitting = false;
  bool TargetStopped = false;
  /// The process is about to end; nothing is held any more.
  bool IsStopping = false;
  internal::silence_watch Silence;
  internal::decline_watch Declines;
  internal::failure_watch Failures;
  std::uint32_t Slots = 1;
  instant WarmUntil;
  /// The target may have become cold without having reported it yet.
  bool IsWarmupUnknown = true;
  warmup_limit WarmupLimit;
  /// The last report said that the target takes no more new flows for now.
  bool ReportedExhausted = false;
  /// What balancers have told of the operators' configuration.
  flow_policy Policy;
  forward_agent_counters Counters;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FORWARD_FORWARD_AGENT_IMPL_H
