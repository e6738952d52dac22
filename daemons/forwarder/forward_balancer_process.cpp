#include "forward_balancer_process.h"
#include "process_pages.h"

namespace marjoramrail::daemons {

namespace {

/// The site takes a balancer out of rotation after two failed readiness probes,
/// half a second apart. Until then callers' packets still arrive.
constexpr duration LeaveRotation = std::chrono::milliseconds(1600);
/// If no packet arrives for this long, the balancer is out of rotation.
constexpr duration QuietTime = std::chrono::milliseconds(400);
constexpr duration QuietCheck = std::chrono::milliseconds(100);
/// Part of the grace period that is reserved for ending the process.
constexpr duration EndMargin = std::chrono::milliseconds(500);
/// Peers answer within a few milliseconds. One that does not respond must not
/// delay the attempt with the next peer.
constexpr duration PeerTimeout = std::chrono::seconds(1);

/// The path at which balancers copy objects from each other. It differs from
/// the path of the object API, which older versions of the program request from
/// their peers. They cannot read the short form of a configuration: they would
/// consider the copy as loaded and keep their old routes during a rolling
/// update (event `routes-refused`). With a different path they get no copy and
/// read from the store.
const std::string CopiesPath = "/v1/copies/";

/// The dialect of the object API, with paths under CopiesPath.
platform_dialect peerDialect() {
  platform_dialect Dialect = objectDialect();
  Dialect.Request = [Plain = Dialect.Request](const platform_call &Call) {
    dialect_request Request = Plain(Call);
    Request.Path = CopiesPath + Call.Key.Kind;
    return Request;
  };
  return Dialect;
}

/// The seeds' peer endpoints. All balancers of a site use the same peer port.
std::vector<endpoint> peersOf(const balancer_program_settings &Settings) {
  std::vector<endpoint> Peers;
  for (const endpoint &Seed : Settings.Seeds)
    Peers.push_back({Seed.Address, Settings.PeersListen.Port});
  return Peers;
}

directory_settings
directorySettings(const balancer_program_settings &Settings) {
  directory_settings Directory;
  Directory.Name = Settings.Name;
  Directory.Zone = Settings.Zone;
  Directory.Self = Settings.PeersListen;
  Directory.Seeds = peersOf(Settings);
  Directory.FlowLife = Settings.FlowLife;
  Directory.DisabledMechanisms = Settings.DisabledMechanisms;
  return Directory;
}

directory_platform storeApis(platform_client &Store) {
  const directory_settings Kinds;
  return {Store.apiFor(Kinds.RoutesKind), Store.apiFor(Kinds.SiteKind),
          Store.apiFor(Kinds.EvacuationsKind)};
}

} // namespace

forward_balancer_process::forward_balancer_process(
    event_loop &Loop, const balancer_program_settings &Settings,
    const site_adapter &Adapter)
    : Loop(Loop), Settings(Settings), Adapter(Adapter),
      Log(Loop, Settings.Name), Callbacks(Log, Metrics),
      RoutesLog(Log, Metrics), Calls(Loop, Log, Metrics),
      Sent(Loop, Log, Metrics), OnCallback(Callbacks.onCallback()),
      Callers(Loop, [this](auto Batch) { onCallers(Batch); }),
      Peers(Loop, [this](auto Batch) { onPeers(Batch); }),
      Store(Loop, withCallCounts(
                      withCallbackLog(
                          storeSettings(Settings.Name, Settings.Store, Adapter,
                                        Settings.DisabledMechanisms),
                          Callbacks),
                      Calls)),
      Core({.Self = Settings.PeersListen,
            .Zone = Settings.Zone,
            .FlowLife = Settings.FlowLife,
            .DisabledMechanisms = Settings.DisabledMechanisms,
            .Regions = Settings.Regions,
            .StatesLevels = Settings.ServiceLevels},
           Adapter.Codec, coreHooks()),
      Directory(Loop.timers(), storeApis(Store), directorySettings(Settings),
                directoryHooks()),
      Flows(Loop.timers(), Store.api(), checkpointKey(Settings.Zone),
            flowHooks()),
      ReadyPage(Loop, Metrics, readyPage()),
      PeerPage(Loop, Metrics, peerPage()), MetricsPage(Loop, Metrics, {}),
      LookupRepetitions(Loop.timers(),
                        [this](instant Now) { return repeatLookups(Now); }),
      Packets(Metrics.counter("marjoramrail_caller_packets_total")) {
  showMetrics();
}

//===----------------------------------------------------------------------===//
// Hooks
//===----------------------------------------------------------------------===//

forward_balancer_hooks forward_balancer_process::coreHooks() {
  forward_balancer_hooks Hooks;
  Hooks.SendToAgent = [this](const endpoint &Agent, bytes_view Bytes) {
    Sent.add(isRouted(Bytes) ? message_kind::Packet : message_kind::LoadReport,
             rangeOfAgent(Agent), Bytes.size());
    Peers.send(Agent, Bytes);
  };
  // Callers receive answers on the port number of CallersListen.
  Hooks.SendToCaller = [this](const endpoint &Caller, bytes_view Bytes) {
    Sent.add(message_kind::Answer, message_range::UnknownZone, Bytes.size());
    Callers.send({Caller.Address, Settings.CallersListen.Port}, Bytes);
  };
  Hooks.OnEvent = [this](const flow_event &Event) { Log.record(Event, ""); };
  Hooks.OnAgentLost = [this](const endpoint &Agent, duration) {
    Directory.removeTarget(Agent);
  };
  Hooks.Clock = [this] { return Log.clock(); };
  return Hooks;
}

directory_hooks forward_balancer_process::directoryHooks() {
  directory_hooks Hooks;
  Hooks.ReadRoutes = Adapter.ReadRoutes;
  Hooks.Yield = [this](std::function<void()> Task) {
    Loop.defer(std::move(Task));
  };
  Hooks.OnRules = [this](const rule_changes &Changes) {
    const callback_timer Taking(OnCallback, callback_kind::TakeRules,
                                Changes.Changed.size());
    Core.changeRoutes(Changes, Loop.timers().now());
    Core.setWarmupRates(Directory.warmupRates(),
                        Directory.newestRoutesVersion());
    Core.setFlowLimits(Directory.flowLimits(), Directory.routesVersion());
  };
  Hooks.OnTargets = [this] { takeTargets(); };
  Hooks.OnEvacuations = [this] {
    Core.setEvacuations(Directory.evacuatedZones(), Loop.timers().now());
  };
  Hooks.Send = [this](const endpoint &To, std::span<const std::uint8_t> Bytes) {
    Sent.add(message_kind::Sync,
             Directory.isInOwnZone(To) ? message_range::OwnZone
                                       : message_range::OtherZone,
             Bytes.size());
    Peers.send(To, Bytes);
  };
  Hooks.ListFromPeer = [this](const endpoint &Peer, const std::string &Kind,
                              platform_callback Done) {
    listFromPeer(Peer, Kind, std::move(Done));
  };
  Hooks.OnEvent = [this](event_kind What, const std::string &Why) {
    Log.record(What, Why);
  };
  Hooks.OnRoutesProgress = [this](event_kind What,
                                  const routes_progress &Progress) {
    RoutesLog.take(What, Progress);
  };
  Hooks.OnCallback = OnCallback;
  return Hooks;
}

flow_collector::hooks forward_balancer_process::flowHooks() {
  flow_collector::hooks Hooks;
  Hooks.Agents = [this] {
    std::map<std::string, endpoint> Agents;
    if (this->Settings.DisabledMechanisms.has(mechanism::FlowCheckpoints))
      return Agents;
    for (const target_entry &Target : Directory.supervisedTargets())
      Agents[Target.Name] = Target.Agent;
    return Agents;
  };
  Hooks.Send = [this](const endpoint &To, bytes_view Bytes) {
    Sent.add(message_kind::FlowReport, rangeOfAgent(To), Bytes.size());
    Peers.send(To, Bytes);
  };
  Hooks.StoreAnsweredAt = [this] { return Directory.storeAnsweredAt(); };
  Hooks.OnError = [this](const std::string &Reason) {
    Log.record(event_kind::StoreLost, "kept flows: " + Reason);
  };
  return Hooks;
}

/// Peers serve their copies through marjoramrail's own object API, so the
/// client for the store can read them too.
void forward_balancer_process::listFromPeer(const endpoint &Peer,
                                            const std::string &Kind,
                                            platform_callback Done) {
  platform_client_settings Client;
  Client.Servers = {Peer};
  Client.Writer = Settings.Name;
  Client.Timeout = PeerTimeout;
  Client.Dialect = peerDialect();
  PeerClient = std::make_unique<platform_client>(
      Loop, withCallbackLog(Client, Callbacks));
  PeerClient->api().List(Kind, std::move(Done));
}

status_page::hooks forward_balancer_process::readyPage() {
  return readyHooks(Adapter, [this] { return Directory.ready() && !Stopping; });
}

status_page::hooks forward_balancer_process::peerPage() {
  status_page::hooks Hooks;
  Hooks.Serve =
      [this](const page_request &Request) -> std::optional<page_answer> {
    if (Request.Path.rfind(CopiesPath, 0) != 0)
      return std::nullopt;
    const auto List =
        Directory.serve(std::string(Request.Path.substr(CopiesPath.size())));
    if (!List)
      return page_answer{503, ""};
    // The page does not tell who asks.
    Sent.add(message_kind::Copy, message_range::UnknownZone, List->size());
    return page_answer{200, *List};
  };
  addStatusPages(Hooks, Log,
                 [this] { return Core.statusJson(Loop.timers().now()); });
  return Hooks;
}

void forward_balancer_process::showMetrics() {
  showProcess(Metrics, Store, Log);
  showOutcomes(Metrics, ForwardOutcomeNames, Core.counters().Outcomes);
  Metrics.counterOf("marjoramrail_resets", [this] {
    return static_cast<double>(Core.counters().Resets);
  });
  Metrics.counterOf("marjoramrail_walks_continued", [this] {
    return static_cast<double>(Core.counters().LookupsContinued);
  });
  Metrics.counterOf("marjoramrail_lookups_repeated", [this] {
    return static_cast<double>(Core.counters().LookupsRepeated);
  });
  Metrics.counterOf("marjoramrail_flows_refused_by_threshold", [this] {
    return static_cast<double>(Core.counters().RefusedByThreshold);
  });
  Metrics.counterOf("marjoramrail_policy_notices", [this] {
    return static_cast<double>(Core.counters().PolicyNotices);
  });
  Metrics.gauge("marjoramrail_evacuated_zones", [this] {
    return static_cast<double>(Directory.evacuatedZones().Zones.size());
  });
  Metrics.gauge("marjoramrail_evacuations_version", [this] {
    return static_cast<double>(Directory.evacuatedZones().Version);
  });
  Metrics.counterOf("marjoramrail_agent_suspicions", [this] {
    return static_cast<double>(Core.counters().Suspicions);
  });
  Metrics.gauge("marjoramrail_flows_remembered",
                [this] { return static_cast<double>(Core.flows()); });
  Metrics.gauge("marjoramrail_routes_version", [this] {
    return static_cast<double>(Directory.routesVersion());
  });
  Metrics.gauge("marjoramrail_routes_late_seconds", [this] {
    return inSeconds(Directory.routesLateFor().value_or(duration::zero()));
  });
  Metrics.gauge("marjoramrail_services_missing_seconds", [this] {
    return inSeconds(Directory.servicesMissingFor().value_or(duration::zero()));
  });
  Metrics.gauge("marjoramrail_known_age_seconds", [this] {
    const auto AsOf = Directory.knownAsOf();
    return AsOf ? inSeconds(Loop.timers().now() - *AsOf) : -1.0;
  });
  Metrics.gauge("marjoramrail_live_peers",
                [this] { return static_cast<double>(Directory.livePeers()); });
}

//===----------------------------------------------------------------------===//
// Running
//===----------------------------------------------------------------------===//

result<void> forward_balancer_process::open() {
  if (auto Opened = Callers.open(Settings.CallersListen); !Opened)
    return Opened.error();
  if (auto Opened = Peers.open(Settings.PeersListen); !Opened)
    return Opened.error();
  if (auto Opened = ReadyPage.open(Settings.ReadyListen); !Opened)
    return Opened.error();
  if (auto Opened = PeerPage.open(Settings.PeersListen); !Opened)
    return Opened.error();
  if (auto Opened = MetricsPage.open(Settings.MetricsListen); !Opened)
    return Opened.error();
  Loop.timers().every(forward_balancer::TickPeriod,
                      [this] { Core.tick(Loop.timers().now()); });
  Log.record(event_kind::ProcessStarted,
             startReason(Settings.DisabledMechanisms));
  Directory.start();
  Flows.start();
  return {};
}

void forward_balancer_process::takeTargets() {
  const std::vector<target_entry> Targets = Directory.targets();
  OwnZoneAgents.clear();
  for (const target_entry &Target : Targets)
    if (Target.Zone == Settings.Zone)
      OwnZoneAgents.insert(Target.Agent.Address);
  const callback_timer Taking(OnCallback, callback_kind::TakeTargets,
                              Targets.size());
  Core.setTargets(Targets, Loop.timers().now());
}

message_range
forward_balancer_process::rangeOfAgent(const endpoint &Agent) const {
  return OwnZoneAgents.contains(Agent.Address) ? message_range::OwnZone
                                               : message_range::OtherZone;
}

void forward_balancer_process::onCallers(std::span<const datagram> Batch) {
  const callback_timer Forwarding(OnCallback, callback_kind::CallerPackets,
                                  Batch.size());
  LastPacketAt = Loop.timers().now();
  Packets += Batch.size();
  Core.setKnownAsOf(Directory.knownAsOf());
  for (const datagram &Datagram : Batch)
    Core.onCallerPacket(Datagram.Bytes, LastPacketAt);
  LookupRepetitions.arm(Core.repeatLookups(LastPacketAt));
  Peers.flush();
  Callers.flush();
}

std::optional<instant> forward_balancer_process::repeatLookups(instant Now) {
  Core.setKnownAsOf(Directory.knownAsOf());
  const auto Next = Core.repeatLookups(Now);
  Peers.flush();
  return Next;
}

void forward_balancer_process::onPeers(std::span<const datagram> Batch) {
  const callback_timer Taking(OnCallback, callback_kind::PeerPackets,
                              Batch.size());
  for (const datagram &Datagram : Batch) {
    if (directory::isForDirectory(Datagram.Bytes))
      Directory.input(Datagram.From, Datagram.Bytes);
    else if (isFlowReport(Datagram.Bytes))
      Flows.input(Datagram.Bytes);
    else
      Core.onAgentMessage(Datagram.From, Datagram.Bytes, Loop.timers().now());
  }
  LookupRepetitions.arm(Core.repeatLookups(Loop.timers().now()));
}

void forward_balancer_process::reload(
    const balancer_program_settings &Changed) {
  Settings.Grace = Changed.Grace;
  Settings.Regions = Changed.Regions;
  Core.setRegions(Settings.Regions);
  Directory.addPeers(peersOf(Changed));
  Log.record(event_kind::SettingsReloaded,
             "applied grace, seeds and the regions of zones");
}

void forward_balancer_process::shutDown() {
  Stopping = true;
  StopAskedAt = Loop.timers().now();
  Log.record(event_kind::ProcessStopping, "asked to stop");
  Directory.leave();
  Loop.timers().every(QuietCheck, [this] { endWhenQuiet(); });
}

void forward_balancer_process::endWhenQuiet() {
  const instant Now = Loop.timers().now();
  const bool HasLeft = Now - StopAskedAt >= LeaveRotation;
  const bool IsQuiet = Now - LastPacketAt >= QuietTime;
  const bool OutOfTime = Now - StopAskedAt >= Settings.Grace - EndMargin;
  if ((!HasLeft || !IsQuiet) && !OutOfTime)
    return;
  Log.record(event_kind::ProcessStopping,
             IsQuiet ? "no packets come any more" : "the grace period ends");
  Loop.stop();
}

} // namespace marjoramrail::daemons
