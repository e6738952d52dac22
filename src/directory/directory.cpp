#include "directory/directory_impl.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace marjoramrail {

using json = nlohmann::json;

namespace {

/// A balancer that does not watch the store learns of changes, and confirms the
/// age of its data, by these messages; 120 bytes each, two per round.
constexpr duration SyncPeriod = std::chrono::milliseconds(200);
/// The watch time of the first balancer in rank. Each watch that expires
/// confirms the data of all balancers, at a rate of calls that does not grow
/// with the fleet. The rest of SettleTime is left for passing this confirmation
/// from balancer to balancer.
constexpr duration FirstWatcherWait = std::chrono::milliseconds(550);
/// The watchers of a zone watch the configuration for its changes only; the age
/// of their data is confirmed by the watchers of the whole site.
constexpr duration ZoneWatchWait = std::chrono::seconds(5);
/// A balancer that has received no message from peers yet ranks first of all,
/// and for a little longer first of its zone. Without these delays every
/// balancer of a starting site would watch the store and be sent a response for
/// every agent that registers.
constexpr duration PeerDiscoveryTime = std::chrono::milliseconds(400);
constexpr duration ZonePeerDiscoveryTime = std::chrono::seconds(2);
/// A balancer without peers confirms its data alone, within SettleTime.
constexpr duration SoloWatchWait = std::chrono::milliseconds(900);
/// Longer waits would only delay the detection of a connection that no longer
/// responds.
constexpr duration MaxWatchWait = std::chrono::seconds(20);
/// The number of balancers per zone that watch the configuration. It is too
/// large for a datagram, and copies within the zone use no link between zones.
constexpr std::size_t RoutesWatchersInZone = peer_selector::WatchersPerZone;
/// A balancer whose data is older than this watches the store itself: the
/// watchers may be cut off from the store, or this balancer from them.
constexpr duration PeerStateMaxAge = std::chrono::milliseconds(1200);
/// How long a balancer that is not a watcher waits between two attempts while
/// the store is unavailable: every call is charged for, including refused ones.
constexpr duration BackgroundRetryInterval = std::chrono::seconds(3);
/// The number of balancers that watch for evacuations on behalf of all, and how
/// long each watch waits. If a connection no longer responds, only the end of
/// the watch shows it, and evacuations have to be known within seconds.
constexpr std::size_t EvacuationWatchers = 2;
constexpr duration EvacuationWatchWait = std::chrono::seconds(5);
/// How often a balancer that the store refuses, and that gets its data from
/// peers, checks whether the store answers again, and the wait of that watch.
constexpr duration AvailabilityCheckInterval = std::chrono::seconds(1);
constexpr duration AvailabilityCheckWait = std::chrono::milliseconds(50);
/// The rank of a balancer that does no tasks for others.
constexpr std::size_t LastRank = std::numeric_limits<std::size_t>::max();
constexpr duration RecordCheckPeriod = std::chrono::milliseconds(200);

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
             feedHooks(this->Settings.RoutesKind, &impl::onRoutesObject,
                       &impl::routesWait)),
      Site(Timers, this->Platform.Site, this->Settings.SiteKind,
           feedHooks(this->Settings.SiteKind, &impl::onSiteObject,
                     &impl::siteWait)),
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
                           std::optional<duration> (impl::*Wait)()) {
  object_feed::hooks Feed;
  Feed.OnObject = [this, OnObject](const platform_object &Object) {
    (this->*OnObject)(Object);
  };
  Feed.OnBatch = [this] { notifyChanges(); };
  Feed.Wait = [this, Wait] { return (this->*Wait)(); };
  Feed.OnAvailability = [this, Kind](bool Answers, const std::string &Reason) {
    Hooks.OnEvent(Answers ? event_kind::StoreRecovered : event_kind::StoreLost,
                  Kind + ": " + Reason);
  };
  return Feed;
}

std::size_t directory::impl::rank(instant Now) const {
  return IsLeaving ? LastRank : Peers.rank(Now);
}

std::size_t directory::impl::rankInZone(instant Now) const {
  return IsLeaving ? LastRank : Peers.rankIn(ZoneNumber, Now);
}

std::optional<duration> directory::impl::routesWait() {
  const instant Now = Timers.now();
  const auto Wait = nextWait(Routes);
  const bool IsFirst = rankInZone(Now) < RoutesWatchersInZone;
  return !Wait && IsFirst && hasRunFor(ZonePeerDiscoveryTime, Now)
             ? ZoneWatchWait
             : Wait;
}

static bool isFresh(const object_feed &Feed, instant Now) {
  return Feed.asOf() && Now - *Feed.asOf() <= PeerStateMaxAge;
}

/// Peers pass over a balancer that the store refuses. One that gets its data
/// from peers makes no calls that would show that the store answers it again,
/// so it checks now and then. Otherwise it would be passed over for good, and
/// its peers would do tasks that it goes on doing itself.
std::optional<duration> directory::impl::siteWait() {
  const auto Wait = nextWait(Site);
  if (Wait || Site.answering() || !isFresh(Site, Timers.now()))
    return Wait;
  const bool IsCheckDue =
      Timers.now() - *Site.failedAt() >= AvailabilityCheckInterval;
  return IsCheckDue ? std::optional(AvailabilityCheckWait) : std::nullopt;
}

std::optional<duration> directory::impl::evacuationsWait() {
  const instant Now = Timers.now();
  const bool IsWatcher =
      hasRunFor(PeerDiscoveryTime, Now) && rank(Now) < EvacuationWatchers;
  return IsWatcher ? std::optional(EvacuationWatchWait) : std::nullopt;
}

evacuation_watch::hooks directory::impl::evacuationHooks() {
  evacuation_watch::hooks Watch;
  Watch.Wait = [this] { return evacuationsWait(); };
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

/// The first balancer in rank confirms the age of the data for all. The other
/// watchers are standbys, which report changes if the first one fails. If all
/// watchers confirmed in turn, their periods would drift together and the data
/// of all balancers would become too old in between.
std::optional<duration> directory::impl::nextWait(const object_feed &Feed) {
  const instant Now = Timers.now();
  const std::size_t Rank = rank(Now);
  const std::size_t Watchers = Peers.watchers(Now);
  if (isFresh(Feed, Now) &&
      (Rank >= Watchers || !hasRunFor(PeerDiscoveryTime, Now)))
    return std::nullopt;
  // The watchers retry on behalf of all balancers.
  const bool HasTried =
      Feed.failedAt() && Now - *Feed.failedAt() < BackgroundRetryInterval;
  if (Rank >= Watchers && HasTried)
    return std::nullopt;
  if (Rank >= Watchers || Peers.live(Now) == 0)
    return SoloWatchWait;
  if (Rank == 0)
    return FirstWatcherWait;
  const duration Wait = std::min(
      FirstWatcherWait * static_cast<std::int64_t>(Watchers), MaxWatchWait);
  return Wait * std::uniform_int_distribution<int>(75, 100)(Random) / 100;
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
