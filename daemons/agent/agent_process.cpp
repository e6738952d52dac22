#include "agent_process.h"
#include "h2_side.h"
#include "tcp_splice.h"

#include <chrono>
#include <glog/logging.h>
#include <random>

namespace marjoramrail {

using std::chrono::duration_cast;
using std::chrono::system_clock;

/// Keepalive probes before a flow counts as silent.
static constexpr unsigned SilentProbes = 3;

static std::int64_t wallClockMs() {
  return duration_cast<std::chrono::milliseconds>(
             system_clock::now().time_since_epoch())
      .count();
}

static std::uint32_t seedOf(const agent_settings &Settings) {
  if (Settings.Seed != 0)
    return Settings.Seed;
  return std::random_device()();
}

static constexpr std::int64_t MsPerSecond = 1000;

agent_process::agent_process(event_loop &Loop, const agent_settings &Settings)
    : Loop(Loop), Settings(Settings),
      Incarnation(static_cast<std::uint32_t>(wallClockMs() / MsPerSecond)),
      Line(Settings.Name, wallClockMs, [](const std::string &) {}),
      Page(Loop, Metrics, pages()),
      Socket(Loop, [this](auto Batch) { takeBatch(Batch); }),
      Stack(Loop.timers(), {.Seed = seedOf(Settings)},
            [this](auto Packet) { sendAnswer(Packet); }),
      Announcer(Loop.timers(), announcerSettings(), announcerHooks()),
      RelayListener(Loop, [this](std::unique_ptr<tcp_stream> Stream) {
        acceptPeer(std::move(Stream));
      }) {
  if (Settings.Platform != endpoint())
    Platform.emplace(
        Loop, platform_client_settings{{Settings.Platform}, Settings.Name});
}

agent_process::~agent_process() {
  PeerConnections.clear();
  Flows.clear();
}

result<void> agent_process::open() {
  if (auto Done = Socket.open(Settings.RoutedListen); !Done)
    return Done.error();
  if (auto Done = Page.open(Settings.StatusListen); !Done)
    return Done.error();
  if (auto Done = RelayListener.open(Settings.RelayListen); !Done)
    return Done.error();
  registerMetrics();
  Loop.timers().every(flow_owner::TickPeriod, [this] { tick(); });
  record(event_kind::ProcessStarted, "", "agent");
  return {};
}

//===----------------------------------------------------------------------===//
// The fleet
//===----------------------------------------------------------------------===//

announcer_settings agent_process::announcerSettings() const {
  announcer_settings Announced;
  Announced.Host = Settings.Name;
  Announced.Service = Settings.Service;
  Announced.Zone = Settings.Zone;
  Announced.Agent = Settings.RoutedListen;
  Announced.Relay = Settings.RelayListen;
  Announced.Seeds = Settings.Balancers;
  Announced.Slots = Settings.Slots;
  Announced.Incarnation = Incarnation;
  return Announced;
}

announcer_hooks agent_process::announcerHooks() {
  announcer_hooks Hooks;
  Hooks.Send = [this](const endpoint &To, fleet_bytes Bytes) {
    Socket.send(To, Bytes);
  };
  Hooks.Describe = [this] { return describe(); };
  Hooks.OnView = [this](const membership &Members) { takeView(Members); };
  Hooks.OnDeclaredDown = [this](std::uint32_t Next) { declaredDown(Next); };
  return Hooks;
}

agent_report agent_process::describe() const {
  agent_report Report;
  Report.Draining = Draining;
  if (!Owner)
    return Report;
  Report.Busy = static_cast<std::uint32_t>(Proxy->inProgress());
  Report.Flows = static_cast<std::uint32_t>(Owner->flows());
  Report.OldestGeneration = Owner->oldestNeededGeneration();
  Report.ViewVersion = Owner->viewVersion();
  return Report;
}

/// The service's rules are read when a view carries a newer version of them, so
/// that agents make no calls to the platform while nothing changes. The first
/// view waits for them, but not for a platform that is down.
void agent_process::takeView(const membership &Next) {
  Members = Next;
  if (Platform && Next.SpecVersion != RulesAsked)
    readRules(Next.SpecVersion);
  if (RulesKnown || !Platform)
    useView(Next);
}

void agent_process::readRules(std::uint64_t SpecVersion) {
  RulesAsked = SpecVersion;
  Platform->api().Read(
      {std::string(nameOf(ResourceKindNames, resource_kind::Service)),
       Settings.Service},
      [this](const platform_reply &Reply) { takeRules(Reply); });
}

void agent_process::takeRules(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Ok) {
    const auto Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Spec, parseService(Reply.Object.Body, Settings.Service));
      Settings.Protocol = Spec.Protocol;
      Settings.MaxSharePercent = Spec.MaxSharePercent;
      Settings.SilentFlow = std::chrono::seconds(Spec.SilentFlowSeconds);
      return {};
    });
    if (Failure)
      LOG(WARNING) << "agent: rules of the service: " << toText(*Failure);
    if (Owner)
      Owner->setMaxShare(Settings.MaxSharePercent);
  } else {
    LOG(WARNING) << "agent: goes on with its settings, the platform says "
                 << nameOf(PlatformOutcomeNames, Reply.Outcome);
    // Asked again with the next view.
    RulesAsked = 0;
  }
  if (!std::exchange(RulesKnown, true))
    useView(*Members);
}

void agent_process::useView(const membership &Next) {
  const service_view &View = Next.View;
  const auto Position = findTarget(Next, Settings.RoutedListen);
  if (Position && !Owner)
    startOwner(View, View.Targets[*Position].Id);
  if (!Owner)
    return;
  Owner->takeView(View, Loop.timers().now());
  if (Position && View.Targets[*Position].State == target_state::Draining)
    drain("the fleet's view");
  if (Address == View.Address)
    return;
  Address = View.Address;
  Stack.addAddress(View.Address.Address);
  const auto Failure = failureOf([&] {
    return Stack.listen(View.Address, [this](std::unique_ptr<stack_flow> Flow) {
      accept(std::move(Flow));
    });
  });
  if (Failure)
    LOG(ERROR) << "agent: " << toText(*Failure);
  LOG(INFO) << "agent: took view " << View.Version << " of " << View.Name;
}

void agent_process::startOwner(const service_view &View, host_id Host) {
  flow_owner_settings Owned;
  Owned.Service = View.Id;
  Owned.Host = Host;
  Owned.Self = Settings.RoutedListen;
  Owned.Incarnation = Incarnation;
  Owned.MaxSharePercent = Settings.MaxSharePercent;
  flow_owner_hooks Hooks;
  Hooks.Send = [this](const endpoint &To, const peer_message &Message) {
    Socket.send(To, encodePeerMessage(Message));
  };
  Hooks.Load = [this] {
    const load_report Own = Proxy->load();
    return peer_load{Own.Busy, Own.Pressure, Own.Slots, Own.Accepting,
                     Own.Service};
  };
  Hooks.OnReport = [this](const peer_message &Message) {
    load_report Peer;
    Peer.Host = Message.Host;
    Peer.Busy = Message.Load.Busy;
    Peer.Pressure = Message.Load.Pressure;
    Peer.Slots = Message.Load.Slots;
    Peer.Accepting = Message.Load.Accepting;
    Peer.Service = Message.Load.Service;
    Proxy->takePeerLoad(Peer);
  };
  Hooks.TellSilence = [this](const endpoint &Balancer,
                             const silence_notice &Notice) {
    std::array<std::uint8_t, SilenceNoticeBytes> Buffer;
    encodeSilenceNotice(Notice, Buffer);
    Socket.send(Balancer, Buffer);
  };
  Owner = std::make_unique<flow_owner>(Owned, std::move(Hooks));
  startProxy(Host);
  if (Draining) {
    Owner->drain();
    Proxy->drain();
  }
}

void agent_process::startProxy(host_id Host) {
  proxy_settings Proxied;
  Proxied.Host = Host;
  Proxied.Target = Settings.Target;
  Proxied.Admission.Slots = Settings.Slots;
  Proxied.Admission.ColdStart = std::chrono::seconds(Settings.ColdStartSeconds);
  Proxied.Seed = seedOf(Settings);
  Proxied.SilentFlow = Settings.SilentFlow;
  proxy_hooks Hooks;
  Hooks.Connect = [this](const endpoint &Peer, byte_events Events) {
    return connectByKernel(Loop, Settings.RelayListen, Peer, std::move(Events));
  };
  Hooks.RelayOf = [this](host_id Peer) { return relayOf(Peer); };
  Proxy =
      std::make_unique<request_proxy>(Loop.timers(), Proxied, std::move(Hooks));
}

std::optional<endpoint> agent_process::relayOf(host_id Peer) const {
  const auto &Targets = Members->View.Targets;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    if (Targets[I].Id == Peer && Targets[I].State != target_state::Down)
      return Members->Info.at(I).Relay;
  return std::nullopt;
}

/// Only the service's own agents may relay: anyone else could pass for another
/// caller, or run requests past the callers' queues.
void agent_process::acceptPeer(std::unique_ptr<tcp_stream> Stream) {
  const std::uint32_t From = Stream->peer().Address;
  const bool Known =
      Proxy && std::any_of(Members->Info.begin(), Members->Info.end(),
                           [&](const target_info &Info) {
                             return Info.Relay.Address == From;
                           });
  if (!Known) {
    ++count("foreign_peer");
    return;
  }
  const std::uint64_t Number = ++LastPeerConnection;
  PeerConnections[Number] = std::make_unique<peer_connection>(
      Loop, std::move(Stream), *Proxy,
      [this, Number] { PeerConnections.erase(Number); });
}

void agent_process::declaredDown(std::uint32_t Next) {
  LOG(WARNING) << "agent: the fleet held this agent for dead; its "
               << Flows.size() << " flows are given up";
  Incarnation = Next;
  if (Owner)
    Owner->restart(Next);
  Flows.clear();
}

void agent_process::tick() {
  const instant Now = Loop.timers().now();
  if (!Owner)
    return;
  if (const auto Heard = Announcer.lastHeard();
      Heard && *Heard > LastConfirmed) {
    LastConfirmed = *Heard;
    Owner->confirmView(*Heard);
  }
  Owner->tick(Now);
  if (Stopping)
    finishIfIdle();
  Socket.flush();
}

//===----------------------------------------------------------------------===//
// Packets
//===----------------------------------------------------------------------===//

void agent_process::takeBatch(std::span<const datagram> Batch) {
  for (const datagram &Datagram : Batch) {
    if (isPeerMessage(Datagram.Bytes))
      takePeerMessage(Datagram);
    else if (isFleetMessage(Datagram.Bytes))
      Announcer.input(Datagram.From, Datagram.Bytes);
    else
      takeRouted(Datagram);
  }
}

std::uint64_t &agent_process::count(const char *Reason) {
  return Metrics.counter("agent_dropped_total",
                         std::string("reason=\"") + Reason + "\"");
}

void agent_process::takePeerMessage(const datagram &Datagram) {
  const auto Failure = failureOf([&]() -> result<void> {
    BOOST_LEAF_AUTO(Message, decodePeerMessage(Datagram.Bytes));
    if (Owner)
      Owner->receive(Message, Datagram.From, Loop.timers().now());
    return {};
  });
  if (Failure)
    ++count("bad_peer_message");
}

void agent_process::takeRouted(const datagram &Datagram) {
  routed_packet Routed;
  tcp_packet Packet;
  packet_fault Fault = decodeRouted(Datagram.Bytes, Routed);
  if (Fault == packet_fault::None)
    Fault = parseTcpPacket(Routed.Packet, Packet);
  if (Fault == packet_fault::None && !Owner)
    Fault = packet_fault::UnknownService;
  if (Fault != packet_fault::None) {
    ++count(nameOf(PacketFaultNames, Fault).data());
    return;
  }
  act(Owner->decide(Routed, Packet, Datagram.From, Loop.timers().now()), Packet,
      Routed.Packet);
}

void agent_process::act(const packet_decision &Decision,
                        const tcp_packet &Packet, bytes_view Bytes) {
  if (Decision.ForgetFlow)
    Stack.forget(Packet.Flow);
  switch (Decision.Action) {
  case packet_action::Deliver:
    Stack.input(Bytes);
    return;
  case packet_action::PassOn: {
    std::array<std::uint8_t, MaxRoutedBytes> Buffer;
    const routed_packet &Routed = Decision.Routed;
    const std::size_t Size = encodeRouted(Routed, Buffer);
    Socket.send(Routed.Owners[Routed.Position], {Buffer.data(), Size});
    if (Packet.opensFlow())
      record(event_kind::FlowHandedOn, toText(Packet.Flow),
             std::string(nameOf(PacketReasonNames, Decision.Reason)));
    return;
  }
  case packet_action::Reset:
    record(event_kind::FlowReset, toText(Packet.Flow),
           std::string(nameOf(PacketReasonNames, Decision.Reason)));
    return sendReset(Packet);
  case packet_action::Drop:
    return;
  }
}

void agent_process::sendReset(const tcp_packet &Packet) {
  constexpr std::size_t ResetBytes = 40;
  std::array<std::uint8_t, ResetBytes> Buffer;
  if (const std::size_t Size = writeReset(Packet, Buffer))
    Socket.send(Settings.FabricReturn, {Buffer.data(), Size});
}

void agent_process::sendAnswer(bytes_view Packet) {
  tcp_packet Answer;
  if (Owner && parseAnswer(Packet, Answer) == packet_fault::None)
    Owner->noteAnswer(Answer, Loop.timers().now());
  Socket.send(Settings.FabricReturn, Packet);
}

//===----------------------------------------------------------------------===//
// Flows
//===----------------------------------------------------------------------===//

void agent_process::accept(std::unique_ptr<stack_flow> Flow) {
  const flow_key Key = Flow->key();
  Flow->keepAlive(Settings.SilentFlow / 2,
                  Settings.SilentFlow / 2 / SilentProbes, SilentProbes);
  record(event_kind::FlowAccepted, toText(Key), "");
  auto OnOver = [this, Key](side_end End) { flowOver(Key, End); };
  if (Settings.Protocol == service_protocol::Tcp)
    Flows[Key] = std::make_unique<tcp_splice>(
        Loop, std::move(Flow), Settings.Target, std::move(OnOver));
  else
    Flows[Key] =
        std::make_unique<h2_side>(std::move(Flow), *Proxy, std::move(OnOver));
}

void agent_process::flowOver(const flow_key &Flow, side_end End) {
  record(event_kind::FlowClosed, toText(Flow), "");
  if (End == side_end::Closed)
    Owner->flowClosing(Flow, Loop.timers().now());
  else
    Owner->flowGone(Flow);
  flow_side *Side = Flows.at(Flow).get();
  Loop.defer([this, Flow, Side] {
    // The caller may have used its port again meanwhile.
    const auto Found = Flows.find(Flow);
    if (Found != Flows.end() && Found->second.get() == Side)
      Flows.erase(Found);
    if (Stopping)
      finishIfIdle();
  });
}

/// New flows go elsewhere, callers are asked to leave, what runs is finished.
void agent_process::drain(const std::string &Why) {
  if (std::exchange(Draining, true))
    return;
  LOG(INFO) << "agent: drains " << Flows.size() << " flows, by " << Why;
  record(event_kind::TargetDraining, "", Why);
  if (Owner) {
    Owner->drain();
    Proxy->drain();
  }
  Announcer.announceNow();
  for (auto &[Flow, Side] : Flows)
    Side->drain();
}

void agent_process::terminate() {
  record(event_kind::ProcessStopping, "", "SIGTERM");
  Stopping = true;
  drain("SIGTERM");
  Loop.timers().after(Settings.DrainBound, [this] {
    LOG(WARNING) << "agent: stops with " << Flows.size() << " flows open";
    Loop.stop();
  });
  finishIfIdle();
}

void agent_process::finishIfIdle() {
  if (!Flows.empty() || (Proxy && Proxy->inProgress() > 0))
    return;
  record(event_kind::DrainDone, "", "no flows left");
  LOG(INFO) << "agent: drained";
  // The last packets to callers and the word to the fleet leave first.
  Loop.timers().after(flow_owner::TickPeriod, [this] { Loop.stop(); });
}

//===----------------------------------------------------------------------===//
// What can be seen
//===----------------------------------------------------------------------===//

void agent_process::record(event_kind What, const std::string &Flow,
                           const std::string &Why) {
  timeline_event Event;
  Event.What = What;
  Event.Service = Settings.Service;
  Event.Flow = Flow;
  Event.Host = Settings.Name;
  Event.Why = Why;
  Line.record(std::move(Event));
}

status_page::hooks agent_process::pages() {
  status_page::hooks Hooks;
  Hooks.Ready = [this] { return Owner != nullptr && !Draining; };
  Hooks.Pages["/timeline"] = [this] { return Line.recent(); };
  return Hooks;
}

void agent_process::registerMetrics() {
  Metrics.gauge("agent_flows",
                [this] { return Owner ? double(Owner->flows()) : 0; });
  Metrics.gauge("agent_view_version",
                [this] { return Owner ? double(Owner->viewVersion()) : 0; });
  for (const auto &[Reason, Name] : PacketReasonNames)
    Metrics.gauge("agent_packets_" + std::string(Name),
                  [this, Reason = Reason] {
                    return Owner ? double(Owner->count(Reason)) : 0;
                  });
}

} // namespace marjoramrail
