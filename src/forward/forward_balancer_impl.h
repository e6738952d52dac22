//===- forward_balancer_impl.h - Implementation of the balancer -*- C++ -*-===//
///
/// \file
/// The implementation class behind forward_balancer. new_flows.cpp places new
/// flows, owner_lookup.cpp sends packets of open flows to their owner or to the
/// owner candidates, repeated_lookups.cpp repeats owner lookups that ended at a
/// failed VM, service_capacity.cpp keeps track of free slots and refuses
/// new flows that no target can serve in time, and forward_balancer.cpp does
/// the rest.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H
#define MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H

#include "forward/admission_threshold.h"
#include "forward/candidate_list.h"
#include "forward/capacity_estimate.h"
#include "forward/flow_cache.h"
#include "forward/pending_lookups.h"
#include "forward/recent_lookups.h"
#include "forward/time_limits.h"

#include <nlohmann/json_fwd.hpp>

namespace marjoramrail {

namespace internal {

struct weighted_service {
  service_id Service{};
  std::uint32_t Weight = 0;
};

struct route_state {
  std::vector<weighted_service> Shares;
  std::uint64_t TotalWeight = 0;
  /// Every service whose targets may still own flows of the route.
  std::vector<service_id> OwnerServices;
  /// The one of them that packets of open flows name.
  service_id ownerService() const {
    return OwnerServices.empty() ? service_id{} : OwnerServices.front();
  }
  /// The regions of new flows and of owner lookups, see route_rule.
  region_restriction Regions;
  region_restriction OwnerRegions;
  /// When OwnerRegions was last changed; nothing if lookups have never been
  /// restricted since the route became known.
  std::optional<instant> RegionsChangedAt;
  std::optional<service_level> Level;
};

/// A caller's packet on its way to an agent.
struct outgoing_packet {
  bytes_view Bytes;
  /// The service level that the packet states, if any.
  std::optional<stated_level> Level;
  /// See routed_packet.
  std::optional<duration> SubstituteWait = {};

  /// Size of the packet and its service level.
  std::size_t size() const {
    return Bytes.size() + (Level ? RoutedLevelBytes : 0);
  }
};

/// Agents that may take a new flow if the chosen target does not, in the order
/// in which they are listed.
enum class substitute_group : std::uint8_t {
  SameZoneFree,
  OtherZonesFree,
  SameZone,
  OtherZones,
  NotAnswering,
  /// Must not be listed.
  None,
};

/// What a balancer knows of the load of one service.
struct service_capacity {
  /// How many flows one target can hold; 0 if no limit is stated.
  std::uint32_t MaxFlows = 0;
  /// Time limits of the routes that send new flows to the service.
  time_limits Limits;
  admission_threshold Threshold;
  /// Number of flows refused by the threshold.
  std::uint64_t Refused = 0;
  /// A flow was placed since the last tick although no target of the own zone
  /// was known to have a free slot.
  bool IsZoneFull = false;
  /// Where the next round of report requests to other zones begins.
  std::size_t NextRequested = 0;
};

} // namespace internal

struct forward_balancer::impl {
  impl(const forward_balancer_settings &Settings, segment_codec Codec,
       forward_balancer_hooks Hooks)
      : Settings(Settings), Codec(std::move(Codec)), Hooks(std::move(Hooks)),
        AgentTable(Settings.Zone, internal::endpoint_hash()(Settings.Self)),
        FlowCache(Settings.MaxFlows) {
    AgentTable.setRegions(Settings.Regions);
  }

  forward_outcome route(const segment &Segment, bytes_view Bytes, instant Now);
  forward_outcome open(const internal::route_state &Route,
                       const segment &Segment, bytes_view Bytes, instant Now);
  forward_outcome forwardOpenFlow(const internal::route_state &Route,
                                  const segment &Segment, bytes_view Bytes,
                                  instant Now);
  internal::outgoing_packet outgoing(const internal::route_state &Route,
                                     service_id Service, const segment &Segment,
                                     bytes_view Bytes) const;
  std::optional<std::size_t> place(const internal::route_state &Route,
                                   const segment &Segment,
                                   std::optional<endpoint> Avoid, instant Now);
  std::optional<std::size_t> placeAt(const internal::route_state &Route,
                                     service_id Service, const flow_key &Flow,
                                     std::optional<endpoint> Avoid,
                                     instant Now);
  std::vector<service_id>
  servicesByPreference(const internal::route_state &Route,
                       const flow_key &Flow) const;
  placement_candidate viewOf(const internal::route_state &Route,
                             const internal::agent_state &Agent,
                             std::optional<endpoint> Avoid, instant Now) const;
  static void applyEstimate(const internal::agent_state &Agent,
                            const service_level &Level, instant Now,
                            placement_candidate &View);
  void addSubstitutes(const internal::route_state &Route,
                      const internal::agent_state &Chosen, const flow_key &Flow,
                      internal::candidate_list &List, instant Now);
  internal::substitute_group groupOf(const internal::route_state &Route,
                                     const internal::agent_state &Chosen,
                                     const internal::agent_state &Other,
                                     instant Now) const;
  std::optional<duration> knownWait(const internal::agent_state &Agent,
                                    const service_level &Level,
                                    instant Now) const;
  static std::optional<internal::capacity_observation>
  observationOf(const internal::agent_state &Agent, instant Now);
  std::optional<duration> substituteWait(const internal::candidate_list &List,
                                         const service_level &Level,
                                         instant Now) const;
  bool hasKnownFreeSlot(const internal::route_state &Route,
                        const internal::agent_state &Agent, instant Now) const;
  forward_outcome refuseByThreshold(const segment &Segment, service_id Service,
                                    instant Now);
  bool isRefusedByThreshold(const internal::route_state &Route,
                            service_id Service) const;
  bool hasReportedFreeSlot(const internal::route_state &Route,
                           service_id Service, instant Now) const;
  void evaluateThresholds(instant Now);
  internal::priority_waits waitsOf(service_id Service,
                                   const internal::time_limits &Limits,
                                   instant Now) const;
  void countLevel(const internal::route_state &Route, bool IsAdded);
  void requestRemoteCapacity(instant Now);
  void send(const internal::candidate_list &List, service_id Service,
            routed_flags Flags, std::uint64_t Version,
            const internal::outgoing_packet &Packet, instant Now);
  void sortFromCursor(const internal::lookup_cursor &Cursor,
                      const flow_key &Flow, std::size_t PacketBytes,
                      instant Now);
  bool collectCandidates(const internal::route_state &Route, instant Now);
  void beginLookup(const internal::route_state &Route, const flow_key &Flow,
                   bool IsCurrent, const internal::outgoing_packet &Packet,
                   instant ArrivedAt, instant Now);
  void keepForRepetition(const flow_key &Flow,
                         const internal::outgoing_packet &Packet,
                         instant ArrivedAt, instant Now);
  void reviewLookup(internal::pending_lookup Lookup, instant Now);
  bool haveCandidatesChangedSince(instant Moment, instant Now) const;
  bool requestReportsSince(instant Moment, instant Now);
  void sendToCandidates(const internal::route_state &Route,
                        const flow_key &Flow,
                        const std::optional<endpoint> &First,
                        std::size_t Listed, bool IsCurrent,
                        const internal::outgoing_packet &Packet, instant Now);
  std::optional<endpoint> previousPlacement(const flow_key &Flow, instant Now);
  std::optional<endpoint> cachedOwner(const flow_key &Flow, instant Now);
  bool requestMissingReports(const flow_key &Flow,
                             const internal::candidate_list &List, instant Now);
  void requestReport(const endpoint &Agent, instant Now);
  void requestReportOnce(const internal::agent_state &Agent,
                         token_bucket &Budget, instant Now);
  report_span reportSpanFor(const endpoint &Agent);
  void sendReportRequest(const endpoint &Agent, report_span Span);
  forward_outcome sendWithinZone(const internal::route_state &Route,
                                 const flow_key &Flow,
                                 const internal::outgoing_packet &Packet,
                                 instant Now);
  bool hasRemoteCandidates() const;
  void logLookup(std::string_view Where, const flow_key &Flow,
                 const internal::candidate_list &List, instant Now);
  void sendToOwner(const internal::route_state &Route, const endpoint &Owner,
                   bool IsCurrent, const internal::outgoing_packet &Packet,
                   instant Now);
  void continueLookup(const routed_packet &Routed, instant Now);
  forward_outcome refuse(const segment &Segment, forward_outcome Outcome,
                         std::string_view Why, instant Now);
  bool isKnowledgeCurrent(instant Now) const;
  void onReport(const load_report &Report, instant Now);
  void onOwnerNotice(const owner_notice &Notice, instant Now);
  void review(instant Now);
  void sendPolicy(const internal::agent_state &Agent);
  bool mayPlaceAt(const internal::route_state &Route,
                  const internal::agent_state &Agent) const;
  bool isPermitted(const region_restriction &Regions,
                   const internal::agent_state &Agent) const;
  std::string_view refusalReason(const internal::route_state &Route) const;
  /// Ends open() for a flow that no target takes.
  forward_outcome refuseUnplaced(const internal::route_state &Route,
                                 const segment &Segment, instant Now);
  bool isRefusalOutdated(const internal::route_state &Route,
                         const internal::agent_state &Agent, instant Now) const;
  void requestReports(const internal::candidate_list &List, instant Now);
  /// Returns false if there is no agent to offer the flow to.
  bool offerDespiteOldRefusals(const internal::route_state &Route,
                               const segment &Segment, bytes_view Bytes,
                               instant Now);
  void notifyUnregistered(const endpoint &Agent, instant Now);
  void notifyRegistered(const internal::agent_state &Agent, instant Now);
  void reportLostAgents(instant Now);
  nlohmann::json admissionJson(instant Now) const;
  nlohmann::json agentJson(const internal::agent_state &Agent,
                           instant Now) const;
  void logEvent(event_kind What, std::string_view Why, const flow_key &Flow,
                const endpoint &Agent, instant Now, double Load = 0);

  forward_balancer_settings Settings;
  segment_codec Codec;
  forward_balancer_hooks Hooks;
  internal::agent_table AgentTable;
  internal::candidate_order Order{AgentTable};
  internal::flow_cache FlowCache;
  internal::recent_lookups RecentLookups;
  internal::pending_lookups PendingLookups;
  /// Buffers that are reused for each packet.
  std::vector<placement_candidate> Views;
  std::vector<std::size_t> Candidates;
  std::vector<internal::substitute_group> SubstituteGroups;
  placement Placement{Settings.DisabledMechanisms};
  std::map<endpoint, internal::route_state> Routes;
  std::optional<instant> KnownAsOf;
  std::uint64_t EvacuationsVersion = 0;
  std::uint64_t RoutesVersion = 0;
  std::map<service_id, std::uint32_t> WarmupRates;
  std::map<service_id, internal::service_capacity> Loads;
  /// The version of the configuration that Routes are of.
  std::uint64_t LevelsVersion = 0;
  /// Report requests of first lookups: requests per second, and the largest
  /// burst, which covers a small site.
  token_bucket FirstLookupRequests{8, 16};
  /// The same for repeated lookups; the burst covers one full list.
  token_bucket RepeatedLookupRequests{40, MaxRoutedOwners};
  /// Lookups that are repeated per second, and the largest burst. After a power
  /// failure many lookups find no owner.
  token_bucket LookupRepetitions{40, 64};
  /// The same for agents that once reported that they admit no flows.
  token_bucket OutdatedRefusalRequests{8, 16};
  forward_balancer_counters Counters;
  int Ticks = 0;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H
