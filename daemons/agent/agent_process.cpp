#include "agent_process.h"
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
      Announcer(Loop.timers(), announcerSettings(), announcerHooks()) {}

agent_process::~agent_process() { Flows.clear(); }

result<void> agent_process::open() {
  BOOST_LEAF_CHECK(Socket.open(Settings.RoutedListen));
  BOOST_LEAF_CHECK(Page.open(Settings.StatusListen));
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
  Report.Flows = static_cast<std::uint32_t>(Owner->flows());
  Report.OldestGeneration = Owner->oldestNeededGeneration();
  Report.ViewVersion = Owner->viewVersion();
  return Report;
}

void agent_process::takeView(const membership &Members) {
  const service_view &View = Members.View;
  if (const auto Position = findTarget(Members, Settings.RoutedListen);
      Position && !Owner)
    startOwner(View, View.Targets[*Position].Id);
  if (!Owner)
    return;
  Owner->takeView(View, Loop.timers().now());
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
  Owner = std::make_unique<flow_owner>(Owned, std::move(Hooks));
  if (Draining)
    Owner->drain();
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
  Flows[Key] = std::make_unique<tcp_splice>(
      Loop, std::move(Flow), Settings.Target,
      [this, Key](side_end End) { flowOver(Key, End); });
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
    if (Draining)
      finishIfIdle();
  });
}

void agent_process::terminate() {
  LOG(INFO) << "agent: drains " << Flows.size() << " flows";
  record(event_kind::ProcessStopping, "", "SIGTERM");
  Draining = true;
  if (Owner)
    Owner->drain();
  Announcer.announceNow();
  for (auto &[Flow, Side] : Flows)
    Side->drain();
  Loop.timers().after(Settings.DrainBound, [this] {
    LOG(WARNING) << "agent: stops with " << Flows.size() << " flows open";
    Loop.stop();
  });
  finishIfIdle();
}

void agent_process::finishIfIdle() {
  if (!Flows.empty())
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
