//===- node_impl.h - Internals of fleet_node --------------------*- C++ -*-===//
///
/// \file
/// Connects the components of a balancer's fleet node; each reaches the others
/// through this object.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_NODE_IMPL_H
#define MARJORAMRAIL_FLEET_NODE_IMPL_H

#include "fleet/applied_tree.h"
#include "fleet/byte_budget.h"
#include "fleet/datagrams.h"
#include "fleet/gossip.h"
#include "fleet/heartbeat_receiver.h"
#include "fleet/platform_feed.h"
#include "fleet/shard_lease.h"

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
  std::vector<std::unique_ptr<shard_lease>> Leases;
  std::vector<shard_lease_update> ShardLeases;
  /// Lease updates to send, with the number of sends left.
  std::map<std::uint32_t, int> PendingLeases;
  std::uint32_t NextShard = 0;
  gossip Gossip;
  heartbeat_receiver HeartbeatReceiver;
  applied_tree Applied;
  shard_controller Controller;
  /// The balancers that each host sends heartbeats to; cleared when the set of
  /// peers changes.
  std::map<std::string, std::vector<endpoint>> Assigned;
  std::optional<instant> LastReceived;
  std::vector<timer_id> OwnTimers;
  std::uint32_t LastMessage = 0;
  instant ChosenAt;
  std::uint64_t CandidatesFor = ~std::uint64_t{0};
  std::vector<balancer_info> Reported;
  bool Stopped = false;

  impl(timer_service &Service, const platform_api &Platform,
       fleet_settings Given, fleet_hooks GivenHooks);
  ~impl();

  gossip::hooks gossipHooks();
  heartbeat_receiver::hooks receiverHooks();
  applied_tree::hooks appliedHooks();
  shard_controller::hooks controllerHooks();
  void makeLeases();

  void tick();
  void input(const endpoint &From, fleet_bytes Bytes);
  bool send(const endpoint &To, const message &Message, urgency Urgency);

  void take(const endpoint &From, const host_heartbeat &Heartbeat) {
    HeartbeatReceiver.take(From, Heartbeat);
  }
  void take(const endpoint &, const assignment &) { ++Counters.DecodeErrors; }
  void take(const endpoint &, const host_ping &) { ++Counters.DecodeErrors; }
  void take(const endpoint &, const host_report &Report) {
    Controller.take(Report);
  }
  void take(const endpoint &, const probe_request &Request) {
    HeartbeatReceiver.probe(Request);
  }
  void take(const endpoint &From, const applied_report &Report) {
    Applied.take(From, Report);
  }
  void take(const endpoint &, const applied_ack &Ack) { Applied.take(Ack); }
  template <typename Other>
  void take(const endpoint &From, const Other &Message) {
    Gossip.take(From, Message);
  }

  void applyView(const membership &Members);
  void takeLease(const shard_lease_update &Update);
  std::vector<shard_lease_update> leasesToSend(bool Fill);
  void peersChanged();
  void chooseCandidates();
  std::optional<std::uint64_t> termFor(const std::string &Service) const;
  const shard_lease_update &leaseOf(const std::string &Service) const;
  void reportHost(report_kind Kind, const host_heartbeat &Heartbeat);
  void probeOthers(const probe_request &Request);
  std::vector<endpoint> assignedTo(const std::string &Host);
  void note(const std::string &Text) const {
    if (Hooks.Note)
      Hooks.Note(Text);
  }
};

} // namespace marjoramrail

#endif // MARJORAMRAIL_FLEET_NODE_IMPL_H
