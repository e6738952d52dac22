//===- node_impl.h - The parts of a balancer's fleet node -------*- C++ -*-===//
///
/// \file
/// Joins the parts: what each needs of the others goes through this object.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_NODE_IMPL_H
#define MARJORAMRAIL_FLEET_NODE_IMPL_H

#include "fleet/byte_budget.h"
#include "fleet/datagrams.h"
#include "fleet/force_tree.h"
#include "fleet/gossip.h"
#include "fleet/hearing.h"
#include "fleet/lease_keeper.h"
#include "fleet/platform_feed.h"

namespace marjoramrail {

using namespace internal;

struct fleet_node::impl {
  timer_service &Timers;
  fleet_settings Settings;
  fleet_hooks Hooks;
  fleet_counters Counters;
  instant StartedAt;
  peer_table Peers;
  view_store Views;
  byte_budget Budget;
  piece_joiner Joiner;
  platform_writer Writer;
  platform_feed Feed;
  std::vector<std::unique_ptr<lease_keeper>> Leases;
  std::vector<duty_news> Duties;
  /// Duties with news, and how often to tell them yet.
  std::map<std::uint32_t, int> HotDuties;
  std::uint32_t NextDuty = 0;
  gossip Gossip;
  hearing Hearing;
  force_tree Force;
  duty_holder Holder;
  /// The balancers that each host announces to, while the peers stay as are.
  std::map<std::string, std::vector<endpoint>> Assigned;
  std::optional<instant> LastHeard;
  std::vector<timer_id> OwnTimers;
  std::uint32_t LastMessage = 0;
  instant ChosenAt;
  std::uint64_t CandidatesFor = ~std::uint64_t{0};
  std::vector<balancer_info> Told;
  bool Stopped = false;

  impl(timer_service &Service, const platform_api &Platform,
       fleet_settings Given, fleet_hooks Asked);
  ~impl();

  gossip::hooks gossipHooks();
  hearing::hooks hearingHooks();
  force_tree::hooks forceHooks();
  duty_holder::hooks holderHooks();
  void makeLeases();

  void tick();
  void input(const endpoint &From, fleet_bytes Bytes);
  bool send(const endpoint &To, const message &Message, urgency Urgency);

  void take(const endpoint &From, const announcement &Announcement) {
    Hearing.announced(From, Announcement);
  }
  void take(const endpoint &, const assignment &) { ++Counters.Faults; }
  void take(const endpoint &, const host_ping &) { ++Counters.Faults; }
  void take(const endpoint &, const host_report &Report) {
    Holder.take(Report);
  }
  void take(const endpoint &, const probe_request &Request) {
    Hearing.probe(Request);
  }
  void take(const endpoint &From, const force_report &Report) {
    Force.take(From, Report);
  }
  void take(const endpoint &, const force_ack &Ack) { Force.take(Ack); }
  template <typename Other>
  void take(const endpoint &From, const Other &Message) {
    Gossip.take(From, Message);
  }

  void takeView(const membership &Members);
  void takeDuty(const duty_news &News);
  std::vector<duty_news> dutiesToTell(bool Fill);
  void peersChanged();
  void chooseDuties();
  std::optional<std::uint64_t> termFor(const std::string &Service) const;
  const duty_news &dutyFor(const std::string &Service) const;
  void reportHost(report_kind Kind, const announcement &Heard);
  void probeOthers(const probe_request &Request);
  std::vector<endpoint> assignedTo(const std::string &Host);
  void note(const std::string &Text) const {
    if (Hooks.Note)
      Hooks.Note(Text);
  }
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FLEET_NODE_IMPL_H
