#include "directory/directory_impl.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace marjoramrail {

using json = nlohmann::json;

namespace {

/// A balancer that does not watch the store learns of changes, and confirms the
/// age of its data, by these messages; 120 bytes each, two per round.
constexpr duration SyncPeriod = std::chrono::milliseconds(200);
/// Longest wait of the first balancer between two calls for marjoramrail's own
/// objects in an outage. It alone retries them, and all others learn from it
/// that the store answers again.
constexpr duration SiteRetryInterval = std::chrono::milliseconds(200);
constexpr duration RecordCheckPeriod = std::chrono::milliseconds(200);
/// A balancer does the tasks of the first one of its zone only after this time
/// since its start. Before, it may not have heard of those ahead of it.
constexpr duration ZonePeerDiscoveryTime = std::chrono::seconds(2);
/// The rank of a balancer that does no tasks for others.
constexpr std::size_t LastRank = std::numeric_limits<std::size_t>::max();

} // namespace

directory::impl::impl(timer_service &Timers, directory_platform Platform,
                      directory_settings Settings, directory_hooks Hooks)
    : Timers(Timers), Platform(std::move(Platform)),
      Settings(std::move(Settings)), Hooks(std::move(Hooks)),
      Random(std::hash<std::string>()(this->Settings.Name)),
      Peers(this->Settings.Self,
            static_cast<std::uint32_t>(serviceNumber(this->Settings.Zone)),
            Random()),
      Record(this->Settings.FlowLife),
      Routes(Timers, this->Platform.Routes, this->Settings.RoutesKind,
             feedHooks(this->Settings.RoutesKind, &impl::onRoutesObject, Routes,
                       routesWatchWait)),
      Site(Timers, this->Platform.Site, this->Settings.SiteKind,
           feedHooks(this->Settings.SiteKind, &impl::onSiteObject, Site,
                     siteWatchWait)),
      Evacuations(Timers, this->Platform.Evacuations,
                  this->Settings.EvacuationsKind, evacuationHooks()),
      Loader(loaderHooks()), ZoneNumber(static_cast<std::uint32_t>(
                                 serviceNumber(this->Settings.Zone))) {
  for (const endpoint &Seed : this->Settings.Seeds)
    Peers.add(Seed);
}

object_feed::hooks
directory::impl::feedHooks(const std::string &Kind,
                           void (impl::*OnObject)(const platform_object &),
                           const object_feed &Own, watch_decision Wait) {
  object_feed::hooks Feed;
  Feed.OnObject = [this, OnObject](const platform_object &Object) {
    (this->*OnObject)(Object);
  };
  Feed.OnBatch = [this] { notifyChanges(); };
  Feed.Wait = [this, &Own, Wait] { return Wait(watchStateOf(Own)); };
  if (&Own == &Site)
    Feed.MaxRetryInterval = SiteRetryInterval;
  Feed.OnAvailability = [this, Kind](bool Answers, const std::string &Reason) {
    Hooks.OnEvent(Answers ? event_kind::StoreRecovered : event_kind::StoreLost,
                  Kind + ": " + Reason);
    if (Answers)
      tellPeersSoon();
  };
  return Feed;
}

std::size_t directory::impl::rank(instant Now) const {
  return IsLeaving ? LastRank : Peers.rank(Now);
}

std::size_t directory::impl::rankInZone(instant Now) const {
  return IsLeaving ? LastRank : Peers.rankIn(ZoneNumber, Now);
}

watch_state directory::impl::watchStateOf(const object_feed &Feed) const {
  const instant Now = Timers.now();
  watch_state State;
  State.Rank = rank(Now);
  State.RankInZone = rankInZone(Now);
  State.Watchers = Peers.watchers(Now);
  State.LivePeers = Peers.live(Now);
  if (StartedAt)
    State.RunTime = Now - *StartedAt;
  if (const auto AsOf = Feed.asOf())
    State.DataAge = Now - *AsOf;
  State.IsAnswering = Feed.answering();
  State.IsStoreLost = &Feed != &Site && !Site.answering();
  if (const auto FailedAt = Feed.failedAt())
    State.SinceFailure = Now - *FailedAt;
  return State;
}

/// After an outage all balancers wait for one whose call the store has
/// answered. Each that learns of it passes it on at once instead of in the next
/// round.
void directory::impl::tellPeersSoon() {
  Timers.after(duration::zero(), guarded([this] { sendSyncMessages(); }));
}

evacuation_watch::hooks directory::impl::evacuationHooks() {
  evacuation_watch::hooks Watch;
  Watch.Wait = [this] {
    return evacuationsWatchWait(watchStateOf(Evacuations.feed()));
  };
  Watch.OnChange = [this](const std::string &Source) {
    onEvacuationsChanged(Source);
  };
  Watch.OnAvailability = [this](bool Answers, const std::string &Reason) {
    Hooks.OnEvent(Answers ? event_kind::StoreRecovered : event_kind::StoreLost,
                  Settings.EvacuationsKind + ": " + Reason);
  };
  return Watch;
}

/// Sends sync messages at once instead of in the next round: each balancer that
/// learns of a change passes it on, so that it reaches a fleet of thousands
/// within a second.
void directory::impl::onEvacuationsChanged(const std::string &Source) {
  const evacuations &Table = Evacuations.table();
  std::string Zones;
  for (const std::string &Zone : Table.Zones)
    Zones += (Zones.empty() ? "" : " ") + Zone;
  Hooks.OnEvent(event_kind::EvacuationsChanged,
                (Zones.empty() ? "none" : Zones) + ", version " +
                    std::to_string(Table.Version) + ", from " + Source);
  Hooks.OnEvacuations();
  sendSyncMessages();
}

bool directory::impl::hasRunFor(duration After, instant Now) const {
  return StartedAt && Now - *StartedAt >= After;
}

void directory::impl::onRoutesObject(const platform_object &Object) {
  if (Object.Key.Name != Settings.RoutesName || Object.Deleted)
    return;
  if (!Loader.busy())
    KnownBeforeLoading = Routes.asOf();
  Loader.take(Object);
}

route_loader::hooks directory::impl::loaderHooks() {
  route_loader::hooks Loader;
  Loader.Read = [this](const platform_object &Object) {
    return isEncodedRouteTable(Object.Body) ? readEncodedRouteTable(Object)
                                            : Hooks.ReadRoutes(Object);
  };
  Loader.Yield = Hooks.Yield;
  Loader.OnTable = [this](const platform_object &Object, route_table Table) {
    onRoutesRead(Object, std::move(Table));
  };
  Loader.OnTableReady = [this] { notifyChanges(); };
  Loader.OnRefused = [this](const std::string &Why) {
    Hooks.OnEvent(event_kind::RoutesRefused, Why);
  };
  Loader.OnCallback = Hooks.OnCallback;
  return Loader;
}

void directory::impl::onRoutesRead(const platform_object &Object,
                                   route_table Table) {
  Routes.replaceBody(Object, encodeRouteTable(Table));
  if (DecodedVersion != 0 && Table.Version <= DecodedVersion)
    return;
  DecodedVersion = Table.Version;
  Decoded = std::move(Table);
}

void directory::impl::onSiteObject(const platform_object &Object) {
  const std::string &Name = Object.Key.Name;
  if (Name == RecordName && !Object.Deleted) {
    Record.load(Object.Body);
    RulesChanged = true;
    requestRecordUpdate();
    return;
  }
  if (Name.starts_with(BalancerPrefix))
    return onBalancer(Object);
  if (!Name.starts_with(TargetPrefix))
    return;
  TargetsChanged = true;
  if (Object.Deleted) {
    Targets.erase(Name);
    return;
  }
  boost::leaf::try_handle_all(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Target, decodeTarget(Name, Object.Body));
        Targets[Name] = Target;
        return {};
      },
      [&](const failure &Failure) {
        Hooks.OnEvent(event_kind::ObjectRefused, toText(Failure));
      },
      [&] { Hooks.OnEvent(event_kind::ObjectRefused, Name); });
}

std::optional<endpoint>
directory::impl::balancerAt(const platform_object &Object) {
  if (!Object.Key.Name.starts_with(BalancerPrefix))
    return std::nullopt;
  const json Body = json::parse(Object.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("self") || !Body["self"].is_string())
    return std::nullopt;
  const auto Self = parseEndpoint(Body["self"].get<std::string>());
  return Self ? std::optional(*Self) : std::nullopt;
}

std::uint32_t directory::impl::zoneOf(const platform_object &Object) {
  const json Body = json::parse(Object.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("zone") || !Body["zone"].is_string())
    return 0;
  return static_cast<std::uint32_t>(
      serviceNumber(Body["zone"].get<std::string>()));
}

/// Peers whose entry was deleted are not contacted any more, unless a message
/// from them arrives.
void directory::impl::onBalancer(const platform_object &Object) {
  const auto Peer = balancerAt(Object);
  if (!Peer)
    return;
  if (Object.Deleted)
    Peers.forget(*Peer);
  else
    Peers.add(*Peer, zoneOf(Object));
}

void directory::impl::notifyChanges() {
  activateNewestRoutes();
  notifyRules();
  if (std::exchange(TargetsChanged, false))
    Hooks.OnTargets();
}

void directory::impl::notifyRules() {
  if (!std::exchange(RulesChanged, false))
    return;
  callback_timer Turn(Hooks.OnCallback, callback_kind::BuildRules);
  const rule_changes Changes = Activation.changes(Record);
  Turn.setItems(Changes.Changed.size() + Changes.Removed.size());
  if (!Changes.empty())
    Hooks.OnRules(Changes);
}

/// The first table is held until the record is known, which tells which of its
/// services are new.
void directory::impl::activateNewestRoutes() {
  if (!Decoded || !Site.known())
    return;
  route_table Table = std::move(*Decoded);
  Decoded.reset();
  if (!Activation.take(std::move(Table), Record, Timers.now()))
    return;
  RulesChanged = true;
  requestRecordUpdate();
  Hooks.OnEvent(event_kind::RoutesKnown,
                "version " + std::to_string(DecodedVersion));
  armActivation();
}

void directory::impl::armActivation() {
  const auto Due = Activation.nextChange();
  if (!Due)
    return;
  Timers.after(*Due - Timers.now(), guarded([this] {
    if (!Activation.advance(Timers.now()))
      return;
    Hooks.OnEvent(event_kind::RoutesActivated,
                  "version " + std::to_string(Activation.activeVersion()));
    RulesChanged = true;
    notifyRules();
    armActivation();
  }));
}

/// A configuration that is still being read does not count as known: otherwise
/// a list of owner candidates without its new service would be considered
/// complete.
std::optional<instant> directory::impl::knownAsOf() const {
  const auto RoutesAsOf = Loader.busy() ? KnownBeforeLoading : Routes.asOf();
  const auto SiteAsOf = Site.asOf();
  if (!RoutesAsOf || !SiteAsOf)
    return std::nullopt;
  return std::min(*RoutesAsOf, *SiteAsOf);
}

//===----------------------------------------------------------------------===//
// directory
//===----------------------------------------------------------------------===//

directory::directory(timer_service &Timers, directory_platform Platform,
                     directory_settings Settings, directory_hooks Hooks)
    : Impl(std::make_unique<impl>(Timers, std::move(Platform),
                                  std::move(Settings), std::move(Hooks))) {}

directory::~directory() = default;

void directory::start() {
  Impl->StartedAt = Impl->Timers.now();
  Impl->Routes.start();
  Impl->Site.start();
  Impl->Evacuations.start();
  Impl->sendSyncMessages();
  Impl->Timers.every(SyncPeriod,
                     Impl->guarded([this] { Impl->sendSyncMessages(); }));
  Impl->Timers.every(RecordCheckPeriod,
                     Impl->guarded([this] { Impl->maintainRecord(); }));
}

/// Peers learn of it from the next sync messages, which are sent at once.
void directory::leave() {
  Impl->IsLeaving = true;
  Impl->sendSyncMessages();
}

void directory::addPeers(const std::vector<endpoint> &Peers) {
  for (const endpoint &Peer : Peers)
    Impl->Peers.add(Peer);
}

void directory::input(const endpoint &From,
                      std::span<const std::uint8_t> Bytes) {
  if (isRegistrationRequest(Bytes))
    return Impl->onRegistrationRequest(From, Bytes);
  Impl->input(From, Bytes);
}

bool directory::isForDirectory(std::span<const std::uint8_t> Bytes) {
  return isSyncMessage(Bytes) || isRegistrationRequest(Bytes);
}

std::optional<std::string> directory::serve(const std::string &Kind) const {
  const object_feed *Feed = nullptr;
  if (Kind == Impl->Settings.RoutesKind)
    Feed = &Impl->Routes;
  else if (Kind == Impl->Settings.SiteKind)
    Feed = &Impl->Site;
  if (!Feed || !Feed->known())
    return std::nullopt;
  // The compact form of a configuration that is being read does not exist yet.
  if (Feed == &Impl->Routes && Impl->Loader.busy())
    return std::nullopt;
  callback_timer Turn(Impl->Hooks.OnCallback, callback_kind::ServeCopies);
  platform_reply List;
  List.StoreVersion = Feed->version();
  for (const auto &[Name, Object] : Feed->objects())
    List.Objects.push_back(Object);
  std::string Text = encodeObjectList(List);
  Turn.setItems(Text.size());
  return Text;
}

bool directory::ready() const {
  return Impl->Activation.known() && Impl->Site.known();
}

std::vector<route_rule> directory::rules() const {
  return Impl->Activation.rules(Impl->Record);
}

std::vector<target_entry> directory::targets() const {
  std::vector<target_entry> All;
  for (const auto &[Name, Target] : Impl->Targets)
    All.push_back(Target);
  return All;
}

const evacuations &directory::evacuatedZones() const {
  return Impl->Evacuations.table();
}

std::uint64_t directory::routesVersion() const {
  return Impl->Activation.activeVersion();
}

std::vector<service_warmup> directory::warmupRates() const {
  const route_table *Newest = Impl->Activation.newest();
  return Newest ? Newest->Warmups : std::vector<service_warmup>();
}

std::uint64_t directory::newestRoutesVersion() const {
  const route_table *Newest = Impl->Activation.newest();
  return Newest ? Newest->Version : 0;
}

std::optional<instant> directory::knownAsOf() const {
  return Impl->knownAsOf();
}

std::optional<instant> directory::storeAnsweredAt() const {
  return Impl->Site.asOf();
}

void directory::removeTarget(const endpoint &Agent) {
  if (Impl->rankInZone(Impl->Timers.now()) != 0)
    return;
  for (const auto &[Name, Target] : Impl->Targets) {
    if (Target.Agent != Agent)
      continue;
    const auto Object = Impl->Site.objects().find(Name);
    if (Object == Impl->Site.objects().end())
      continue;
    Impl->Hooks.OnEvent(event_kind::TargetDown, Name);
    // A conflict means that the agent has just rewritten the entry and is
    // alive.
    Impl->Platform.Site.Remove(Object->second.Key, Object->second.Version,
                               [](const platform_reply &) {});
  }
}

std::vector<target_entry> directory::supervisedTargets() const {
  const instant Now = Impl->Timers.now();
  std::vector<target_entry> Zone;
  if (!Impl->hasRunFor(ZonePeerDiscoveryTime, Now) ||
      Impl->rankInZone(Now) != 0)
    return Zone;
  for (const auto &[Name, Target] : Impl->Targets)
    if (Target.Zone == Impl->Settings.Zone)
      Zone.push_back(Target);
  return Zone;
}

std::size_t directory::livePeers() const {
  return Impl->Peers.live(Impl->Timers.now());
}

} // namespace marjoramrail
