//===- forward_balancer_impl.h - The parts of the balancer ------*- C++ -*-===//
///
/// \file
/// The balancer's core behind its public face. new_flows.cpp places flows,
/// flow_walk.cpp sends the packets of open ones to whoever may hold them,
/// forward_balancer.cpp does the rest.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H
#define MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H

#include "forward/flow_memory.h"
#include "forward/holder_list.h"
#include "forward/recent_walks.h"

namespace marjoramrail {

namespace internal {

struct weighted_service {
  service_id Service{};
  std::uint32_t Weight = 0;
};

struct route_state {
  std::vector<weighted_service> Shares;
  std::uint64_t TotalWeight = 0;
  /// Every service that may still hold flows of the route.
  std::vector<service_id> Holders;
};

} // namespace internal

struct forward_balancer::impl {
  impl(const forward_balancer_settings &Settings, segment_codec Codec,
       forward_balancer_hooks Hooks)
      : Settings(Settings), Codec(std::move(Codec)), Hooks(std::move(Hooks)),
        Roster(Settings.Zone, internal::endpoint_hash()(Settings.Self)),
        Memory(Settings.MaxFlows) {}

  forward_outcome route(const segment &Segment, bytes_view Bytes, instant Now);
  forward_outcome open(const internal::route_state &Route,
                       const segment &Segment, bytes_view Bytes, instant Now);
  forward_outcome follow(const internal::route_state &Route,
                         const segment &Segment, bytes_view Bytes, instant Now);
  std::optional<std::size_t> place(const internal::route_state &Route,
                                   const segment &Segment,
                                   std::optional<endpoint> Avoid, instant Now);
  std::optional<std::size_t> placeAt(service_id Service, const flow_key &Flow,
                                     std::optional<endpoint> Avoid,
                                     instant Now);
  std::vector<service_id> servicesInTurn(const internal::route_state &Route,
                                         const flow_key &Flow) const;
  placing_view viewOf(const internal::agent_state &Agent,
                      std::optional<endpoint> Avoid, instant Now) const;
  void addSubstitutes(const internal::agent_state &Chosen, const flow_key &Flow,
                      internal::holder_list &List);
  void send(const internal::holder_list &List, service_id Service,
            std::initializer_list<routed_flag> Flags, std::uint64_t Version,
            bytes_view Bytes, instant Now);
  void sortForWalkFrom(const internal::walk_cursor &Cursor,
                       const flow_key &Flow, bytes_view Bytes, instant Now);
  void collectHolders(const internal::route_state &Route);
  void sendToHolders(const internal::route_state &Route, const flow_key &Flow,
                     const std::optional<endpoint> &First, std::size_t Named,
                     bool Sure, bytes_view Bytes, instant Now);
  std::optional<endpoint> whereBefore(const flow_key &Flow, instant Now);
  std::optional<endpoint> rememberedOwner(const flow_key &Flow, instant Now);
  bool askUnheard(const flow_key &Flow, const internal::holder_list &List,
                  instant Now);
  void ask(const endpoint &Agent, instant Now);
  report_span spanFor(const endpoint &Agent);
  void sendQuestion(const endpoint &Agent, report_span Span);
  forward_outcome sendNearby(const internal::route_state &Route,
                             const flow_key &Flow, bytes_view Bytes,
                             instant Now);
  bool hasFarHolders() const;
  void tellSought(std::string_view Where, const flow_key &Flow,
                  const internal::holder_list &List, instant Now);
  void sendToOwner(const internal::route_state &Route, const endpoint &Owner,
                   bool Sure, bytes_view Bytes, instant Now);
  void continueWalk(const routed_packet &Routed, instant Now);
  forward_outcome refuse(const segment &Segment, forward_outcome Outcome,
                         std::string_view Why, instant Now);
  bool isSure(instant Now) const;
  void onReport(const load_report &Report, instant Now);
  void review(instant Now);
  void tellUnlisted(const endpoint &Agent, instant Now);
  void tellListed(const internal::agent_state &Agent, instant Now);
  void tellLost(instant Now);
  void tell(event_kind What, std::string_view Why, const flow_key &Flow,
            const endpoint &Agent, instant Now, double Load = 0);

  forward_balancer_settings Settings;
  segment_codec Codec;
  forward_balancer_hooks Hooks;
  internal::agent_roster Roster;
  internal::holder_order Order{Roster};
  internal::flow_memory Memory;
  internal::recent_walks Walks;
  /// Scratch space of one packet's decision.
  std::vector<placing_view> Views;
  std::vector<std::size_t> Holders;
  placement Placement{Settings.Without};
  std::map<endpoint, internal::route_state> Routes;
  std::optional<instant> KnownAsOf;
  /// Questions a second, and at once: those of a small site.
  token_bucket FirstWalkQuestions{8, 16};
  /// And those of a whole list.
  token_bucket RepeatedWalkQuestions{40, MaxRoutedOwners};
  forward_balancer_counters Counters;
  int Ticks = 0;
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FORWARD_FORWARD_BALANCER_IMPL_H
