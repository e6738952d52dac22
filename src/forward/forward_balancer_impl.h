//===- forward_balancer_impl.h - Implementation of the balancer -*- C++ -*-===//
///
/// \file
/// The implementation class behind forward_balancer. new_flows.cpp places new
/// flows, owner_lookup.cpp sends packets of open flows to their owner or to the
/// owner candidates, and forward_balancer.cpp does the rest.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H
#define MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H

#include "forward/candidate_list.h"
#include "forward/flow_cache.h"
#include "forward/recent_lookups.h"

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
  /// The regions of new flows and of owner lookups, see route_rule.
  region_restriction Regions;
  region_restriction OwnerRegions;
  /// When OwnerRegions was last changed; nothing if lookups have never been
  /// restricted since the route became known.
  std::optional<instant> RegionsChangedAt;
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
  void addSubstitutes(const internal::route_state &Route,
                      const internal::agent_state &Chosen, const flow_key &Flow,
                      internal::candidate_list &List);
  void send(const internal::candidate_list &List, service_id Service,
            routed_flags Flags, std::uint64_t Version, bytes_view Bytes,
            instant Now);
  void sortFromCursor(const internal::lookup_cursor &Cursor,
                      const flow_key &Flow, bytes_view Bytes, instant Now);
  bool collectCandidates(const internal::route_state &Route, instant Now);
  void sendToCandidates(const internal::route_state &Route,
                        const flow_key &Flow,
                        const std::optional<endpoint> &First,
                        std::size_t Listed, bool IsCurrent, bytes_view Bytes,
                        instant Now);
  std::optional<endpoint> previousPlacement(const flow_key &Flow, instant Now);
  std::optional<endpoint> cachedOwner(const flow_key &Flow, instant Now);
  bool requestMissingReports(const flow_key &Flow,
                             const internal::candidate_list &List, instant Now);
  void requestReport(const endpoint &Agent, instant Now);
  report_span reportSpanFor(const endpoint &Agent);
  void sendReportRequest(const endpoint &Agent, report_span Span);
  forward_outcome sendWithinZone(const internal::route_state &Route,
                                 const flow_key &Flow, bytes_view Bytes,
                                 instant Now);
  bool hasRemoteCandidates() const;
  void logLookup(std::string_view Where, const flow_key &Flow,
                 const internal::candidate_list &List, instant Now);
  void sendToOwner(const internal::route_state &Route, const endpoint &Owner,
                   bool IsCurrent, bytes_view Bytes, instant Now);
  void continueLookup(const routed_packet &Routed, instant Now);
  forward_outcome refuse(const segment &Segment, forward_outcome Outcome,
                         std::string_view Why, instant Now);
  bool isKnowledgeCurrent(instant Now) const;
  void onReport(const load_report &Report, instant Now);
  void review(instant Now);
  void sendPolicy(const internal::agent_state &Agent);
  bool mayPlaceAt(const internal::route_state &Route,
                  const internal::agent_state &Agent) const;
  bool isPermitted(const region_restriction &Regions,
                   const internal::agent_state &Agent) const;
  std::string_view refusalReason(const internal::route_state &Route) const;
  void notifyUnregistered(const endpoint &Agent, instant Now);
  void notifyRegistered(const internal::agent_state &Agent, instant Now);
  void reportLostAgents(instant Now);
  void logEvent(event_kind What, std::string_view Why, const flow_key &Flow,
                const endpoint &Agent, instant Now, double Load = 0);

  forward_balancer_settings Settings;
  segment_codec Codec;
  forward_balancer_hooks Hooks;
  internal::agent_table AgentTable;
  internal::candidate_order Order{AgentTable};
  internal::flow_cache FlowCache;
  internal::recent_lookups RecentLookups;
  /// Buffers that are reused for each packet.
  std::vector<placement_candidate> Views;
  std::vector<std::size_t> Candidates;
  placement Placement{Settings.DisabledMechanisms};
  std::map<endpoint, internal::route_state> Routes;
  std::optional<instant> KnownAsOf;
  std::uint64_t EvacuationsVersion = 0;
  std::uint64_t RoutesVersion = 0;
  std::map<service_id, std::uint32_t> WarmupRates;
  /// Report requests of first lookups: requests per second, and the largest
  /// burst, which covers a small site.
  token_bucket FirstLookupRequests{8, 16};
  /// The same for repeated lookups; the burst covers one full list.
  token_bucket RepeatedLookupRequests{40, MaxRoutedOwners};
  forward_balancer_counters Counters;
  int Ticks = 0;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H
