#include "fleet/node_impl.h"
#include "fleet/rendezvous.h"

#include <algorithm>

namespace marjoramrail {

namespace {

/// Nodes that compete for a shard's lease: the first of the ranking and one
/// that is ready to take over.
constexpr std::size_t Candidates = 2;
constexpr std::size_t BalancersPerHost = 3;
/// A node that has just started may not know its peers yet; if it competed for
/// every shard, leases would move without need.
constexpr duration StartupDelay = std::chrono::milliseconds(1500);
/// Ranking 12,000 nodes for 64 shards takes 4 ms, and peers change all the time
/// while a fleet starts.
constexpr duration ChooseInterval = std::chrono::seconds(1);
constexpr std::size_t LeasesPerMessage = 3;
/// IPv4 and UDP headers, which count as sent bytes too.
constexpr std::size_t UdpOverhead = 28;

} // namespace

void fleet_node::impl::tick() {
  if (Stopped)
    return;
  Gossip.tick();
  chooseCandidates();
  for (const auto &Lease : Leases)
    Lease->tick();
  HeartbeatReceiver.tick();
  Applied.tick();
  const bool Holds =
      std::any_of(Leases.begin(), Leases.end(),
                  [](const auto &Lease) { return Lease->holds(); });
  if (!Holds)
    Feed.stop();
  Controller.tick(Holds && Feed.synced());
}

bool fleet_node::impl::send(const endpoint &To, const message &Message,
                            urgency Urgency) {
  if (!Budget.open(Timers.now(), Urgency)) {
    ++Counters.Deferred;
    return false;
  }
  const auto Bytes = encode(Message);
  std::size_t Overhead = 0;
  const std::size_t Sent =
      sendInPieces(Bytes, ++LastMessage, [&](fleet_bytes Piece) {
        ++Counters.DatagramsSent;
        Overhead += UdpOverhead;
        Hooks.Send(To, Piece);
      });
  Counters.BytesSent += Sent + Overhead;
  Counters.BytesByKind[Message.index()] += Sent + Overhead;
  Budget.spend(Sent + Overhead);
  return true;
}

void fleet_node::impl::input(const endpoint &From, fleet_bytes Bytes) {
  ++Counters.DatagramsReceived;
  Counters.BytesReceived += Bytes.size() + UdpOverhead;
  bool Fault = false;
  const auto Joined = Joiner.add(From, Bytes, Fault);
  Counters.DecodeErrors += Fault ? 1 : 0;
  if (!Joined)
    return;
  const auto Failure = failureOf([&]() -> result<void> {
    auto Message = decode(*Joined);
    if (!Message)
      return Message.error();
    LastReceived = Timers.now();
    std::visit([&](const auto &Value) { take(From, Value); }, *Message);
    return {};
  });
  Counters.DecodeErrors += Failure ? 1 : 0;
}

void fleet_node::impl::applyView(const membership &Members) {
  const offer Offer = Views.take(Members);
  Counters.StaleIgnored += Offer == offer::Older ? 1 : 0;
  if (Offer != offer::Newer)
    return;
  const std::string Name = Members.View.Name;
  if (Hooks.OnView)
    Hooks.OnView(*Views.find(Name));
  Gossip.viewTaken(Name);
  Applied.viewTaken(Name);
  HeartbeatReceiver.viewTaken(*Views.find(Name));
}

void fleet_node::impl::takeLease(const shard_lease_update &Update) {
  if (Update.Shard >= ShardLeases.size())
    return;
  shard_lease_update &Known = ShardLeases[Update.Shard];
  const bool Released = Update.Term == Known.Term && Update.Holder.empty() &&
                        !Known.Holder.empty();
  if (Update.Term <= Known.Term && !Released)
    return;
  Known = Update;
  if (!Update.Holder.empty())
    Gossip.addContact(Update.Control);
  PendingLeases[Update.Shard] = 6;
  Gossip.scheduleSpread();
}

std::vector<shard_lease_update> fleet_node::impl::leasesToSend(bool Fill) {
  std::vector<shard_lease_update> Update;
  for (auto At = PendingLeases.begin();
       At != PendingLeases.end() && Update.size() < LeasesPerMessage;) {
    Update.push_back(ShardLeases[At->first]);
    At = --At->second <= 0 ? PendingLeases.erase(At) : std::next(At);
  }
  if (Fill && Update.size() < LeasesPerMessage && !ShardLeases.empty()) {
    NextShard =
        (NextShard + 1) % static_cast<std::uint32_t>(ShardLeases.size());
    if (ShardLeases[NextShard].Term > 0)
      Update.push_back(ShardLeases[NextShard]);
  }
  return Update;
}

void fleet_node::impl::peersChanged() {
  Assigned.clear();
  if (!Hooks.OnBalancers || Reported == Peers.living())
    return;
  Reported = Peers.living();
  Hooks.OnBalancers(Reported);
}

void fleet_node::impl::chooseCandidates() {
  if (CandidatesFor == Peers.answeringVersion() ||
      Timers.now() - StartedAt < StartupDelay ||
      Timers.now() - ChosenAt < ChooseInterval)
    return;
  ChosenAt = Timers.now();
  CandidatesFor = Peers.answeringVersion();
  const std::vector<balancer_info> Able = Peers.answering();
  for (std::uint32_t Shard = 0; Shard < Leases.size(); ++Shard) {
    const auto Picked =
        pick("shard-" + std::to_string(Shard), Able, Candidates);
    const bool HoldsShard =
        std::any_of(Picked.begin(), Picked.end(), [&](std::size_t At) {
          return Able[At].Name == Settings.Name;
        });
    Leases[Shard]->setCandidate(HoldsShard);
  }
}

std::optional<std::uint64_t>
fleet_node::impl::termFor(const std::string &Service) const {
  const auto &Lease = Leases[shardOf(Service, Settings.Shards)];
  if (!Lease->holds())
    return std::nullopt;
  return Lease->term();
}

const shard_lease_update &
fleet_node::impl::leaseOf(const std::string &Service) const {
  return ShardLeases[shardOf(Service, Settings.Shards)];
}

void fleet_node::impl::reportHost(report_kind Kind,
                                  const host_heartbeat &Heartbeat) {
  const host_report Report{Kind, Settings.Name, Heartbeat};
  const shard_lease_update &Lease = leaseOf(Heartbeat.Service);
  if (Lease.Holder == Settings.Name)
    Controller.take(Report);
  else if (!Lease.Holder.empty())
    send(Lease.Control, Report, urgency::Now);
}

void fleet_node::impl::probeOthers(const probe_request &Request) {
  HeartbeatReceiver.probe(Request);
  // The balancers that the host sends heartbeats to may have a recent one. One
  // more balancer may reach the host when none of them does.
  std::vector<endpoint> Probers = assignedTo(Request.Host);
  if (const auto Peer = Peers.random())
    Probers.push_back(Peer->Control);
  std::sort(Probers.begin(), Probers.end());
  Probers.erase(std::unique(Probers.begin(), Probers.end()), Probers.end());
  for (const endpoint &Other : Probers)
    if (Other != Settings.Control)
      send(Other, Request, urgency::Now);
}

std::vector<endpoint> fleet_node::impl::assignedTo(const std::string &Host) {
  const auto Known = Assigned.find(Host);
  if (Known != Assigned.end())
    return Known->second;
  std::vector<endpoint> Endpoints;
  for (const std::size_t At : pick(Host, Peers.living(), BalancersPerHost))
    Endpoints.push_back(Peers.living()[At].Control);
  Assigned[Host] = Endpoints;
  return Endpoints;
}

} // namespace marjoramrail
