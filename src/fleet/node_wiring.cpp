#include "fleet/node_impl.h"
#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail {

namespace {

constexpr duration TickPeriod = std::chrono::milliseconds(200);
/// All services are checked at this interval, e.g. to remove hosts that were
/// declared dead long ago.
constexpr duration RecheckAllInterval = std::chrono::seconds(60);

std::string writerName(const fleet_settings &Settings) {
  return Settings.Name + ":" + std::to_string(Settings.Incarnation);
}

balancer_info infoOf(const fleet_settings &Settings) {
  return {Settings.Name, Settings.Zone, Settings.Control, Settings.Incarnation};
}

} // namespace

fleet_node::impl::impl(timer_service &Service, const platform_api &Platform,
                       fleet_settings Given, fleet_hooks GivenHooks)
    : Timers(Service), Settings(std::move(Given)), Hooks(std::move(GivenHooks)),
      StartedAt(Timers.now()), Peers(infoOf(Settings), Settings.Seed),
      Budget(Settings.BytesPerSecond, StartedAt),
      Writer(Timers, Platform, writerName(Settings), Counters),
      Feed(Timers, Platform, Counters,
           [this](const platform_object &Object) { Controller.take(Object); }),
      ShardLeases(Settings.Shards),
      Gossip(Timers, Peers, Views, Settings.Seeds, gossipHooks()),
      HeartbeatReceiver(
          Timers, Views, Settings.HeartbeatTimeout, Settings.Control,
          Settings.Seed ^ hashOfName(Settings.Name), receiverHooks()),
      Applied(Timers, Peers, Views, appliedHooks()),
      Controller(Timers, Writer, Counters, controllerHooks()) {
  for (std::uint32_t I = 0; I < Settings.Shards; ++I)
    ShardLeases[I].Shard = I;
  makeLeases();
  OwnTimers.push_back(Timers.every(TickPeriod, [this] { tick(); }));
  // Without an offset, nodes that start together would send their heartbeats at
  // the same moments for ever.
  const duration Offset =
      Settings.GossipPeriod * (hashOfName(Settings.Name) % 100) / 100;
  OwnTimers.push_back(Timers.after(Offset, [this] {
    Gossip.period();
    OwnTimers.push_back(
        Timers.every(Settings.GossipPeriod, [this] { Gossip.period(); }));
  }));
  OwnTimers.push_back(
      Timers.every(RecheckAllInterval, [this] { Controller.recheckAll(); }));
}

fleet_node::impl::~impl() {
  for (const timer_id Timer : OwnTimers)
    Timers.cancel(Timer);
}

gossip::hooks fleet_node::impl::gossipHooks() {
  return {
      .Send = [this](const endpoint &To, const message &Message,
                     urgency Urgency) { return send(To, Message, Urgency); },
      .OnPeersChanged = [this] { peersChanged(); },
      .OnView = [this](const membership &Members) { applyView(Members); },
      .OnLease =
          [this](const shard_lease_update &Update) { takeLease(Update); },
      .ShardLeases = [this](bool Fill) { return leasesToSend(Fill); }};
}

heartbeat_receiver::hooks fleet_node::impl::receiverHooks() {
  return {
      .Send =
          [this](const endpoint &To, const message &Message) {
            const bool View = std::holds_alternative<view_full>(Message) ||
                              std::holds_alternative<view_delta>(Message);
            return send(To, Message, View ? urgency::Soon : urgency::Now);
          },
      .Report =
          [this](report_kind Kind, const host_heartbeat &Heartbeat) {
            reportHost(Kind, Heartbeat);
          },
      .Assigned = [this](const std::string &Host) { return assignedTo(Host); },
      .PeersAnswer =
          [this] {
            return Peers.living().size() > 1 && Peers.isLinkTrusted();
          }};
}

applied_tree::hooks fleet_node::impl::appliedHooks() {
  return {
      .Send =
          [this](const endpoint &To, const message &Message) {
            send(To, Message, urgency::Later);
          },
      .Holder = [this](const std::string &Service) { return leaseOf(Service); },
      .OnChange =
          [this](const std::string &Service) {
            Controller.appliedChanged(Service);
          }};
}

shard_controller::hooks fleet_node::impl::controllerHooks() {
  return {
      .Term = [this](const std::string &Service) { return termFor(Service); },
      .HoldsShard =
          [this](const std::string &Service) {
            return Leases[shardOf(Service, Settings.Shards)]->holds();
          },
      .NewestView =
          [this](const std::string &Service) { return Views.find(Service); },
      .OnWritten = [this](const membership &Members) { applyView(Members); },
      .OnObject = [this](const platform_object &Object) { Feed.wrote(Object); },
      .Probe = [this](const probe_request &Request) { probeOthers(Request); },
      .Balancers = [this] { return Peers.living().size(); },
      .IsLinkTrusted = [this] { return Peers.isLinkTrusted(); },
      .Applied =
          [this](const std::string &Service) {
            return Applied.summary(Service);
          },
      .WallClockMs = Hooks.WallClockMs,
      .Note = Hooks.Note};
}

void fleet_node::impl::makeLeases() {
  for (std::uint32_t Shard = 0; Shard < Settings.Shards; ++Shard) {
    shard_lease::hooks LeaseHooks;
    LeaseHooks.OnHeld = [this, Shard](std::uint64_t Term) {
      note("acquired the lease of shard " + std::to_string(Shard) +
           " in term " + std::to_string(Term));
      // Objects of this shard were ignored until now, so they are listed again.
      Feed.requireVersion(Leases[Shard]->version());
      Feed.restart();
      Controller.recheckAll();
    };
    LeaseHooks.OnLost = [this, Shard] {
      note("lost the lease of shard " + std::to_string(Shard));
    };
    LeaseHooks.OnSeen = [this, Shard](const lease_record &Record) {
      takeLease({Shard, Record.Term, Record.Holder, Record.Control});
    };
    Leases.push_back(std::make_unique<shard_lease>(
        Timers, Writer,
        shard_lease_settings{Shard, Settings.Name, Settings.Control,
                             Settings.Lease},
        std::move(LeaseHooks)));
  }
}

} // namespace marjoramrail
