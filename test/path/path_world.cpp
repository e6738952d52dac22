#include "path/path_world.h"
#include "path/addresses.h"
#include "wire/sample_packet.h"

#include <algorithm>

namespace marjoramrail::test {

using namespace internal;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr duration PlanPeriod = milliseconds(500);

path_world::path_world(const world_settings &Settings)
    : Settings(Settings), Random(Settings.Seed) {
  for (std::uint32_t I = 0; I < Settings.Hosts; ++I)
    addHost();
  plan();
  for (std::uint32_t I = 0; I < Settings.Balancers; ++I) {
    balancer Balancer;
    balancer_settings Core;
    Core.Self = balancerOf(I);
    Balancer.Core = std::make_unique<balancer_core>(
        Core, balancer_hooks{[this, I](const endpoint &To, bytes_view Bytes) {
          enqueue({datagram_kind::Routed,
                   balancerOf(I),
                   To,
                   {Bytes.begin(), Bytes.end()},
                   {},
                   0,
                   0},
                  true);
        }});
    Balancer.Core->setView(Newest.View);
    Balancer.Version = Newest.View.Version;
    Balancers.push_back(std::move(Balancer));
  }
  for (host &Host : Hosts)
    Host.NextView = Now;
  advanceTime(seconds(5));
}

path_world::~path_world() = default;

std::uint64_t path_world::below(std::uint64_t Bound) {
  return std::uniform_int_distribution<std::uint64_t>(0, Bound - 1)(Random);
}

//===----------------------------------------------------------------------===//
// The network
//===----------------------------------------------------------------------===//

void path_world::enqueue(queued_datagram Datagram, bool MayBeLost) {
  constexpr std::uint64_t Scale = 100000;
  const auto Hits = [&](double Percent) {
    return static_cast<double>(below(Scale)) < Percent * Scale / 100;
  };
  if (MayBeLost && Hits(Settings.LossPercent))
    return;
  const auto Delay = [&] {
    return milliseconds(1) + duration(below(static_cast<std::uint64_t>(
                                 Settings.MaxDelay.count())));
  };
  if (MayBeLost && Hits(Settings.DuplicatePercent))
    InFlight.emplace(Now + Delay(), Datagram);
  InFlight.emplace(Now + Delay(), std::move(Datagram));
}

void path_world::deliver(const queued_datagram &Datagram) {
  if (Datagram.Kind == datagram_kind::ToCaller)
    return callerReceives(Datagram);
  if (Datagram.Kind == datagram_kind::ToBalancer ||
      Datagram.Kind == datagram_kind::Notice) {
    Balancers[Datagram.To.Address - balancerOf(0).Address].Core->onDatagram(
        Datagram.From, Datagram.Bytes, Now);
    return;
  }
  const auto Number = hostAt(Datagram.To);
  if (!Number || !Hosts[*Number].Core)
    return;
  if (Hosts[*Number].FrozenUntil > Now) {
    InFlight.emplace(Hosts[*Number].FrozenUntil, Datagram);
    return;
  }
  if (Datagram.Kind == datagram_kind::Peer)
    Hosts[*Number].Core->receive(Datagram.Message, Datagram.From, Now);
  else
    takeRouted(Hosts[*Number], *Number, Datagram);
}

void path_world::advanceTime(duration Time) {
  for (const instant End = Now + Time; Now < End;) {
    Now += Step;
    if (Now - LastPlan >= PlanPeriod)
      plan();
    distributeViews();
    if (Now.time_since_epoch() % flow_owner::TickPeriod == duration(0))
      for (host &Host : Hosts)
        if (Host.Alive && Host.Core && Host.FrozenUntil <= Now) {
          // Balancers answer heartbeats whatever view they have.
          Host.Core->confirmView(Now);
          Host.Core->tick(Now);
        }
    stepCallers();
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      const queued_datagram Datagram = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      deliver(Datagram);
    }
  }
}

//===----------------------------------------------------------------------===//
// Hosts
//===----------------------------------------------------------------------===//

std::optional<std::uint32_t> path_world::hostAt(const endpoint &Agent) const {
  const std::uint32_t Number = Agent.Address - agentOf(0).Address;
  if (Number >= Hosts.size() || !Hosts[Number].Alive)
    return std::nullopt;
  return Number;
}

void path_world::startCore(std::uint32_t Number) {
  host &Host = Hosts[Number];
  const auto Place = findTarget(Newest, Host.Agent);
  flow_owner_settings Core;
  Core.Service = Newest.View.Id;
  Core.Host = Newest.View.Targets[*Place].Id;
  Core.Self = Host.Agent;
  Core.Incarnation = Host.Incarnation;
  flow_owner_hooks Hooks;
  Hooks.Send = [this, Number](const endpoint &To, const peer_message &Message) {
    enqueue({datagram_kind::Peer, Hosts[Number].Agent, To, {}, Message, 0, 0},
            true);
  };
  Hooks.ReportUnresponsive = [this, Number](const endpoint &To,
                                            const unresponsive_notice &Notice) {
    std::vector<std::uint8_t> Bytes(UnresponsiveNoticeBytes);
    encodeUnresponsiveNotice(Notice, Bytes);
    enqueue({datagram_kind::Notice,
             Hosts[Number].Agent,
             To,
             std::move(Bytes),
             {},
             0,
             0},
            true);
  };
  Host.Core = std::make_unique<flow_owner>(Core, std::move(Hooks));
  if (Host.Draining)
    Host.Core->drain();
}

void path_world::takeRouted(host &Host, std::uint32_t Number,
                            const queued_datagram &Datagram) {
  routed_packet Routed;
  tcp_packet Packet;
  if (decodeRouted(Datagram.Bytes, Routed) != packet_fault::None ||
      parseTcpPacket(Routed.Packet, Packet) != packet_fault::None)
    return;
  if (!Packet.opensFlow())
    ++Outcome.Visits;
  const packet_decision Decision =
      Host.Core->decide(Routed, Packet, Datagram.From, Now);
  if (Decision.DiscardHalfOpen)
    Host.Stack.erase(Packet.Flow);
  switch (Decision.Action) {
  case packet_action::Deliver:
    return takeIntoStack(Host, Number, Packet, Routed);
  case packet_action::PassOn: {
    routed_packet Next = Decision.Routed;
    Next.Packet = Routed.Packet;
    std::vector<std::uint8_t> Bytes(MaxRoutedBytes);
    Bytes.resize(encodeRouted(Next, Bytes));
    enqueue({datagram_kind::Routed,
             Host.Agent,
             Next.Owners[Next.Position],
             std::move(Bytes),
             {},
             0,
             0},
            true);
    return;
  }
  case packet_action::Reset: {
    std::vector<std::uint8_t> Bytes(64);
    Bytes.resize(writeReset(Packet, Bytes));
    enqueue({datagram_kind::ToCaller,
             Host.Agent,
             {},
             std::move(Bytes),
             {},
             Number,
             Host.Incarnation},
            true);
    return;
  }
  case packet_action::Drop:
    return;
  }
}

void path_world::answer(host &Host, std::uint32_t Number, const flow_key &Flow,
                        std::uint8_t Flags, std::uint32_t Sequence,
                        std::uint32_t Acknowledged) {
  const flow_key Back{Flow.Service, Flow.Caller};
  byte_string Bytes = samplePacket(Back, Flags, 0, Sequence, Acknowledged);
  tcp_packet Answer;
  parseReturnPacket(Bytes, Answer);
  Host.Core->noteAnswer(Answer, Now);
  enqueue({datagram_kind::ToCaller,
           Host.Agent,
           {},
           std::move(Bytes),
           {},
           Number,
           Host.Incarnation},
          true);
}

/// A minimal TCP stack that the core cannot distinguish from lwIP.
void path_world::takeIntoStack(host &Host, std::uint32_t Number,
                               const tcp_packet &Packet,
                               const routed_packet &Routed) {
  checkOwner(Packet, Number);
  if (Routed.Position > 0 && !Packet.opensFlow()) {
    std::vector<std::uint8_t> Bytes(OwnerNoticeBytes);
    encodeOwnerNotice(
        {Routed.Service, Host.Core->viewVersion(), Packet.Flow, Host.Agent},
        Bytes);
    enqueue({datagram_kind::Notice,
             Host.Agent,
             Routed.Balancer,
             std::move(Bytes),
             {},
             0,
             0},
            true);
  }
  if (Packet.Syn) {
    held_flow &Held = Host.Stack[Packet.Flow];
    if (Held.CallerNext != Packet.Sequence + 1)
      Held = {Packet.Sequence + 1, static_cast<std::uint32_t>(Random()), false};
    return answer(Host, Number, Packet.Flow, SynBit | AckBit, Held.OurInitial,
                  Held.CallerNext);
  }
  const auto Found = Host.Stack.find(Packet.Flow);
  if (Found == Host.Stack.end()) {
    std::vector<std::uint8_t> Bytes(64);
    Bytes.resize(writeReset(Packet, Bytes));
    enqueue({datagram_kind::ToCaller,
             Host.Agent,
             {},
             std::move(Bytes),
             {},
             Number,
             Host.Incarnation},
            true);
    return;
  }
  held_flow &Held = Found->second;
  Held.Established = true;
  if (Packet.Sequence == Held.CallerNext)
    Held.CallerNext += Packet.Payload + (Packet.Fin ? 1 : 0);
  if (Packet.Payload > 0 || Packet.Fin)
    answer(Host, Number, Packet.Flow, AckBit, Held.OurInitial + 1,
           Held.CallerNext);
  if (!Packet.Fin || !Held.Established)
    return;
  Host.Core->flowClosing(Packet.Flow, Now);
  Host.Core->flowRemoved(Packet.Flow);
  Host.Stack.erase(Found);
}

void path_world::checkOwner(const tcp_packet &Packet, std::uint32_t Host) {
  const auto Found = Callers.find(numberOf(Packet.Flow));
  if (Packet.opensFlow() || Found == Callers.end())
    return;
  ++Outcome.Deliveries;
  const caller &Caller = Found->second;
  const bool OfThisFlow = Packet.Sequence - Caller.Initial < 1U << 20;
  if (Caller.State == caller_state::Established && OfThisFlow &&
      Packet.Payload > 0 && Caller.Owner != Host)
    ++Outcome.Misrouted;
}

void path_world::addHost() {
  const auto Number = static_cast<std::uint32_t>(Hosts.size());
  host Host;
  Host.Name = "ledger-" + std::to_string(Number);
  Host.Agent = agentOf(Number);
  Host.NextView = Now;
  Hosts.push_back(std::move(Host));
}

void path_world::drainHost(std::uint32_t Host) {
  Hosts[Host].Draining = true;
  if (Hosts[Host].Core)
    Hosts[Host].Core->drain();
}

void path_world::killHost(std::uint32_t Host, duration DetectedAfter) {
  host &Dead = Hosts[Host];
  Dead.Alive = false;
  Dead.DiedAt = Now;
  Dead.Core.reset();
  Dead.Stack.clear();
  Dead.NextView = Now + DetectedAfter;
}

void path_world::restartHost(std::uint32_t Host) {
  host &Started = Hosts[Host];
  Started.DiedAt = Now;
  Started.Core.reset();
  Started.Stack.clear();
  Started.Alive = true;
  Started.ConsideredAlive = true;
  Started.Version = 0;
  Started.NextView = Now + milliseconds(200);
  ++Started.Incarnation;
}

bool path_world::removeHost(std::uint32_t Host) {
  if (flowsOf(Host) != 0)
    return false;
  killHost(Host, duration(0));
  return true;
}

bool path_world::takesNewFlows(std::uint32_t Host) const {
  return Hosts[Host].Alive && Hosts[Host].ConsideredAlive &&
         !Hosts[Host].Draining;
}

std::size_t path_world::flowsOf(std::uint32_t Host) const {
  return Hosts[Host].Core ? Hosts[Host].Core->flows() : 0;
}

double path_world::imbalance() const {
  double Most = 0;
  double Sum = 0;
  double Count = 0;
  for (std::uint32_t I = 0; I < Hosts.size(); ++I) {
    if (!takesNewFlows(I))
      continue;
    Most = std::max(Most, double(flowsOf(I)));
    Sum += double(flowsOf(I));
    ++Count;
  }
  return Sum == 0 ? 1 : Most * Count / Sum;
}

std::size_t path_world::generations() const {
  return Newest.View.Generations.size();
}

std::uint64_t path_world::fromCache() const {
  std::uint64_t Sum = 0;
  for (const balancer &Balancer : Balancers)
    Sum += Balancer.Core->counters().FromCache;
  return Sum;
}

//===----------------------------------------------------------------------===//
// Views
//===----------------------------------------------------------------------===//

void path_world::plan() {
  LastPlan = Now;
  plan_input Input;
  Input.Current = Newest.View.Version == 0 ? nullptr : &Newest;
  service_spec Spec;
  Spec.Name = "ledger";
  Spec.Number = service_id(1);
  Spec.Address = ServiceAddress;
  Input.Spec = Spec;
  Input.Term = 1;
  Input.Now = Now;
  Input.LastGeneration = LastGeneration;
  Input.Zones = {{"oostende", zone_id(1)},
                 {"brugge", zone_id(2)},
                 {"zeebrugge", zone_id(3)}};
  std::ptrdiff_t Place = 0;
  for (host &Host : Hosts) {
    if (!Host.Alive && Host.ConsideredAlive && Now >= Host.NextView)
      Host.ConsideredAlive = false;
    host_evidence &Evidence = Input.Evidence[Host.Name];
    Evidence.Heartbeat.Host = Host.Name;
    Evidence.Heartbeat.Service = Spec.Name;
    Evidence.Heartbeat.Agent = Host.Agent;
    Evidence.Heartbeat.Zone =
        std::next(Input.Zones.begin(), Place++ % 3)->first;
    Evidence.Heartbeat.Incarnation = Host.Incarnation;
    Evidence.Heartbeat.Report.Draining = Host.Draining;
    Evidence.ReceivedAt = Now;
    Evidence.Dead = !Host.ConsideredAlive;
    Evidence.DeadIncarnation = Host.Incarnation;
    if (Host.Core && Host.Core->oldestNeededGeneration() > 0)
      Evidence.Needs = Host.Core->oldestNeededGeneration();
  }
  const membership_plan Plan = planMembership(Input);
  if (!Plan.Changed)
    return;
  if (Plan.NewGeneration)
    LastGeneration = Now;
  Newest = Plan.Next;
  Views[Newest.View.Version] = Newest;
}

/// A random version after \p Held, since nodes may skip versions or lag behind.
std::uint64_t path_world::laterVersion(std::uint64_t Held) {
  const auto First = Views.upper_bound(Held);
  const auto Count =
      static_cast<std::uint64_t>(std::distance(First, Views.end()));
  if (Count == 0)
    return Held;
  return std::next(First, static_cast<std::ptrdiff_t>(below(Count)))->first;
}

void path_world::distributeViews() {
  const auto NextTime = [this] {
    return Now + duration(below(static_cast<std::uint64_t>(
                     std::max<duration::rep>(1, Settings.MaxViewLag.count()))));
  };
  for (balancer &Balancer : Balancers) {
    Balancer.Core->noteFleetContact(Now);
    if (Now < Balancer.NextView)
      continue;
    Balancer.NextView = NextTime();
    Balancer.Version = laterVersion(Balancer.Version);
    Balancer.Core->setView(Views.at(Balancer.Version).View);
  }
  for (std::uint32_t I = 0; I < Hosts.size(); ++I) {
    host &Host = Hosts[I];
    if (!Host.Alive || Now < Host.NextView || !findTarget(Newest, Host.Agent))
      continue;
    Host.NextView = NextTime();
    if (!Host.Core)
      startCore(I);
    Host.Version = laterVersion(Host.Version);
    Host.Core->applyView(Views.at(Host.Version).View, Now);
  }
}

} // namespace marjoramrail::test
