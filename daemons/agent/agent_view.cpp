#include "agent_process.h"

#include <algorithm>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace marjoramrail {

heartbeat_settings agent_process::heartbeatSettings() const {
  heartbeat_settings Announced;
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

heartbeat_hooks agent_process::heartbeatHooks() {
  heartbeat_hooks Hooks;
  Hooks.Send = [this](const endpoint &To, fleet_bytes Bytes) {
    sendControl(To, Bytes);
  };
  Hooks.Describe = [this] { return describe(); };
  Hooks.OnView = [this](const membership &Members) { applyView(Members); };
  Hooks.OnDeclaredDead = [this](std::uint32_t Next) { onDeclaredDead(Next); };
  return Hooks;
}

/// Control messages are counted apart from callers' packets, because they have
/// a byte budget of their own.
void agent_process::sendControl(const endpoint &To, bytes_view Bytes) {
  Metrics.counter("agent_control_bytes_sent") += Bytes.size();
  ++Metrics.counter("agent_control_datagrams_sent");
  Socket.send(To, Bytes);
}

agent_report agent_process::describe() const {
  agent_report Report;
  // Reports only this process's own drain. If the operators' drain were
  // reported as the host's, the operators could never undo it.
  Report.Draining = Stopping;
  if (!Owner)
    return Report;
  Report.Busy = static_cast<std::uint32_t>(Proxy->inProgress());
  Report.Flows = static_cast<std::uint32_t>(Owner->flows());
  Report.OldestGeneration = Owner->oldestNeededGeneration();
  const auto &Generations = Members->View.Generations;
  if (!Proxy->keysSettled() && !Generations.empty())
    Report.OldestGeneration = Generations.back().Number;
  Report.ViewVersion = Owner->viewVersion();
  return Report;
}

/// The service's rules are read when a view contains a newer version of them,
/// so that agents make no calls to the platform while nothing changes. The
/// first view is applied only after the rules are read, unless the platform is
/// down.
void agent_process::applyView(const membership &Next) {
  Members = Next;
  if (Platform && Next.SpecVersion != RequestedRulesVersion)
    readRules(Next.SpecVersion);
  if (Begun || !Platform)
    useView(Next);
}

void agent_process::readRules(std::uint64_t SpecVersion) {
  RequestedRulesVersion = SpecVersion;
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
      LOG(WARNING) << "agent: invalid rules of the service: "
                   << toText(*Failure);
    if (Owner)
      Owner->setMaxShare(Settings.MaxSharePercent);
  } else {
    LOG(WARNING)
        << "agent: keeping the rules of its settings, the platform answered "
        << nameOf(PlatformOutcomeNames, Reply.Outcome);
    // The next view requests the rules again.
    RequestedRulesVersion = 0;
  }
  if (!std::exchange(RulesKnown, true))
    markFirstStart();
}

/// Records in the platform that an agent has run on this host. Key records are
/// kept in memory only, and an agent that wrongly considered itself the first
/// on its host would run a request a second time when it is retried with the
/// same idempotency key. It takes one write in the lifetime of a host.
void agent_process::markFirstStart() {
  platform_object Mark;
  Mark.Key = {"agent", Settings.Name};
  Mark.Body = nlohmann::json{{"incarnation", Incarnation}}.dump();
  Platform->api().Write({Mark, 0}, [this](const platform_reply &Reply) {
    takeFirstStart(Reply);
  });
}

void agent_process::takeFirstStart(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Unknown)
    return readBackFirstStart();
  begin(Reply.Outcome == platform_outcome::Ok);
}

/// The answer to the write was lost. The incarnation in the stored object shows
/// whether this process wrote it.
void agent_process::readBackFirstStart() {
  Platform->api().Read(
      {"agent", Settings.Name}, [this](const platform_reply &Reply) {
        const auto Mark =
            nlohmann::json::parse(Reply.Object.Body, nullptr, false);
        begin(Reply.Outcome == platform_outcome::Ok && Mark.is_object() &&
              Mark.value("incarnation", 0U) == Incarnation);
      });
}

void agent_process::begin(bool First) {
  NeverRan = First;
  Begun = true;
  useView(*Members);
}

/// Whether no host of the service can have key records yet. A host that joins
/// later has to copy the records from the earlier hosts.
bool agent_process::isFirstEver(const service_view &View) const {
  if (!NeverRan || View.Generations.empty() ||
      View.Generations.back().Number != 1)
    return false;
  const auto &Oldest = View.Generations.back().Members;
  return std::any_of(Oldest.begin(), Oldest.end(), [&](const member &Member) {
    return std::any_of(View.Targets.begin(), View.Targets.end(),
                       [&](const target &Target) {
                         return Target.Id == Member.Host &&
                                Target.Agent == Settings.RoutedListen;
                       });
  });
}

static key_view keyViewOf(const service_view &View) {
  key_view Keys;
  for (const target &Target : View.Targets)
    Keys.Hosts.push_back(
        {Target.Id, Target.Incarnation, Target.State == target_state::Down});
  for (const generation &Generation : View.Generations) {
    key_generation Members{Generation.Number, {}};
    for (const member &Member : Generation.Members)
      Members.Members.push_back(Member.Host);
    Keys.Generations.push_back(std::move(Members));
  }
  return Keys;
}

void agent_process::useView(const membership &Next) {
  const service_view &View = Next.View;
  const auto Position = findTarget(Next, Settings.RoutedListen);
  if (Position && !Owner)
    startOwner(View, View.Targets[*Position].Id);
  if (!Owner)
    return;
  Owner->applyView(View, Loop.timers().now());
  Proxy->setKeyView(keyViewOf(View));
  if (Position && View.Targets[*Position].State == target_state::Draining)
    drain("the fleet's view");
  else if (Position)
    resume();
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
  LOG(INFO) << "agent: applied view " << View.Version << " of " << View.Name;
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
    sendControl(To, encodePeerMessage(Message));
  };
  Hooks.Load = [this] {
    const agent_load Own = Proxy->load();
    return peer_load{Own.Busy, Own.Pressure, Own.Slots, Own.Accepting,
                     Own.Service};
  };
  Hooks.OnReport = [this](const peer_message &Message) {
    agent_load Peer;
    Peer.Host = Message.Host;
    Peer.Busy = Message.Load.Busy;
    Peer.Pressure = Message.Load.Pressure;
    Peer.Slots = Message.Load.Slots;
    Peer.Accepting = Message.Load.Accepting;
    Peer.Service = Message.Load.Service;
    Proxy->updatePeerLoad(Peer);
  };
  Hooks.ReportUnresponsive = [this](const endpoint &Balancer,
                                    const unresponsive_notice &Notice) {
    std::array<std::uint8_t, UnresponsiveNoticeBytes> Buffer;
    encodeUnresponsiveNotice(Notice, Buffer);
    Socket.send(Balancer, Buffer);
  };
  Owner = std::make_unique<flow_owner>(Owned, std::move(Hooks));
  startProxy(View, Host);
  if (Draining) {
    Owner->drain();
    Proxy->drain();
  }
}

void agent_process::startProxy(const service_view &View, host_id Host) {
  proxy_settings Proxied;
  Proxied.Host = Host;
  Proxied.Name = Settings.Name;
  Proxied.Target = Settings.Target;
  Proxied.Admission.Slots = Settings.Slots;
  Proxied.Admission.ColdStart = std::chrono::seconds(Settings.ColdStartSeconds);
  Proxied.Seed = Seed;
  Proxied.IdleTimeout = Settings.SilentFlow;
  Proxied.Incarnation = Incarnation;
  Proxied.Keys.MaxRecords = Settings.KeyRecords;
  Proxied.History =
      NeverRan ? replica_history::NeverRan : replica_history::MayHaveRun;
  if (isFirstEver(View))
    Proxied.History = replica_history::NewService;
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

/// Only agents of the same service may relay requests. Any other host could
/// impersonate a caller or bypass the callers' queues.
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

void agent_process::onDeclaredDead(std::uint32_t Next) {
  LOG(WARNING) << "agent: the balancers had marked this agent dead; its "
               << Flows.size() << " flows are dropped";
  Incarnation = Next;
  // Keys may have been claimed without this agent while it was marked dead.
  NeverRan = false;
  if (Owner) {
    Owner->restart(Next);
    Proxy->continueAs(Next);
  }
  Flows.clear();
}

void agent_process::tick() {
  const instant Now = Loop.timers().now();
  if (!Owner)
    return;
  if (const auto LastReceived = HeartbeatSender.lastReceived();
      LastReceived && *LastReceived > LastConfirmed) {
    LastConfirmed = *LastReceived;
    Owner->confirmView(*LastReceived);
  }
  Owner->tick(Now);
  if (Stopping)
    finishIfIdle();
  Socket.flush();
}

} // namespace marjoramrail
