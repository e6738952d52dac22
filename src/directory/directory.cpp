#include "directory/directory_impl.h"

#include <limits>

namespace marjoramrail {

namespace {

/// A balancer that does not watch the store learns of changes, and confirms the
/// age of its data, by these messages; 120 bytes each, two per round.
constexpr duration SyncPeriod = std::chrono::milliseconds(200);
constexpr duration RecordCheckPeriod = std::chrono::milliseconds(200);
constexpr duration SnapshotCheckPeriod = std::chrono::seconds(1);
constexpr duration LagCheckPeriod = std::chrono::milliseconds(500);
/// How much longer than SettleTime a configuration waits until its services are
/// on record. The store may refuse writes for any time, and operators rely on a
/// bound for their changes as well.
constexpr duration MaxRecordWait = std::chrono::milliseconds(800);
/// A balancer does the tasks of the first one of its zone only after this time
/// since its start. Before, it may not have heard of those ahead of it.
constexpr duration ZonePeerDiscoveryTime = std::chrono::seconds(2);
/// When a site starts for the first time, the balancers know each other after
/// this time.
constexpr duration FirstStartTime = std::chrono::seconds(2);
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
      RecordWriter(Timers, Record, {this->Settings.SiteKind, RecordName},
                   recordHooks()),
      Activation(MaxRecordWait),
      FirstLists(this->Platform.Routes, this->Platform.Site,
                 this->Settings.RoutesKind, this->Settings.SiteKind,
                 snapshotHooks()),
      Routes(Timers, this->Platform.Routes, this->Settings.RoutesKind,
             feedHooks(this->Settings.RoutesKind, &impl::onRoutesObject, Routes,
                       routesWatchWait)),
      Site(Timers, this->Platform.Site, this->Settings.SiteKind,
           feedHooks(this->Settings.SiteKind, &impl::onSiteObject, Site,
                     siteWatchWait)),
      Evacuations(Timers, this->Platform.Evacuations,
                  this->Settings.EvacuationsKind, evacuationHooks()),
      Snapshots(Timers, this->Platform.Site), Loader(loaderHooks()),
      ZoneNumber(
          static_cast<std::uint32_t>(serviceNumber(this->Settings.Zone))) {
  for (const endpoint &Seed : this->Settings.Seeds) {
    Peers.add(Seed);
    IsSeed |= Seed == this->Settings.Self;
  }
}

std::size_t directory::impl::rank(instant Now) const {
  if (IsLeaving)
    return LastRank;
  return IsSeed && isSiteStarting(Now) ? Peers.rankAmong(Settings.Seeds, Now)
                                       : Peers.rank(Now);
}

std::size_t directory::impl::rankInZone(instant Now) const {
  return IsLeaving ? LastRank : Peers.rankIn(ZoneNumber, Now);
}

bool directory::impl::hasRunFor(duration After, instant Now) const {
  return StartedAt && Now - *StartedAt >= After;
}

/// On the first start of a site, balancers are still being added to the store,
/// and only the seeds hear of all. Each of the others would rank itself among
/// the first, so the seeds do the tasks meanwhile.
bool directory::impl::isSiteStarting(instant Now) const {
  const bool FoundNone = PeersFound <= Settings.Seeds.size();
  const bool AreManyNew = Peers.size() > PeersFound + PeersFound / 4 + 1;
  return !hasRunFor(FirstStartTime, Now) && (FoundNone || AreManyNew);
}

duration directory::impl::discoveryTime(instant Now) const {
  constexpr duration UsualTime = std::chrono::milliseconds(400);
  return isSiteStarting(Now) && !IsSeed ? FirstStartTime : UsualTime;
}

void directory::impl::notifyChanges() {
  activateNewestRoutes();
  advanceRoutes();
  notifyRules();
  if (std::exchange(TargetsChanged, false))
    Hooks.OnTargets();
}

void directory::impl::notifyRules() {
  if (!std::exchange(RulesChanged, false))
    return;
  callback_timer Timer(Hooks.OnCallback, callback_kind::BuildRules);
  const rule_changes Changes = Activation.changes(Record);
  Timer.setItems(Changes.Changed.size() + Changes.Removed.size());
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
  const instant Now = Timers.now();
  const instant FirstKnownAt =
      RoutesFirstKnown.since(DecodedObjectVersion, Now);
  if (!Activation.take(std::move(Table), Record, Now,
                       {DecodedObjectVersion, FirstKnownAt}))
    return;
  Record.noteConfigured(Activation.newestServices(), Now);
  // Others may have known it for longer than it has to wait.
  Activation.advance(Now);
  RulesChanged = true;
  // Changes may come faster than balancers wait for each other to compare the
  // record. In a large zone the wait starts again with each; otherwise all of
  // them would compare it at once.
  if (Peers.isZoneLarge())
    RecordWriter.restartUpdate();
  else
    RecordWriter.requestUpdate();
  Hooks.OnRoutesProgress(event_kind::RoutesKnown,
                         RoutesProgress.noteKnown(
                             DecodedObjectVersion, DecodedVersion,
                             routesAvailableSince(DecodedObjectVersion), Now));
  reportActiveRoutes();
  armActivation();
  tellPeersSoon();
}

/// A balancer that has just started is not late with what others have known for
/// minutes.
instant
directory::impl::routesAvailableSince(std::uint64_t ObjectVersion) const {
  const instant Now = Timers.now();
  return std::max(RoutesFirstKnown.since(ObjectVersion, Now),
                  StartedAt.value_or(Now));
}

void directory::impl::reportActiveRoutes() {
  const instant Now = Timers.now();
  auto Progress = RoutesProgress.noteActive(Activation.activeVersion(), Now);
  if (!Progress)
    return;
  // Peers may have stated an earlier moment since the table was read.
  Progress->FirstKnownAt = std::min(
      Progress->FirstKnownAt, routesAvailableSince(Progress->ObjectVersion));
  Hooks.OnRoutesProgress(event_kind::RoutesActivated, *Progress);
  reportUnrecordedServices();
}

void directory::impl::noteRoutesKnown(std::uint64_t ObjectVersion,
                                      instant Since) {
  RoutesFirstKnown.note(ObjectVersion, Since);
  Activation.noteKnown({ObjectVersion, Since});
  armActivation();
}

void directory::impl::armActivation() {
  const auto Due = Activation.nextChange();
  if (!Due || (ActivationDue && *ActivationDue <= *Due))
    return;
  ActivationDue = Due;
  const duration Wait = std::max(*Due - Timers.now(), duration::zero());
  Timers.after(Wait, guarded([this] {
                 ActivationDue.reset();
                 advanceRoutes();
                 notifyRules();
                 armActivation();
               }));
}

void directory::impl::advanceRoutes() {
  if (!Activation.advance(Timers.now()))
    return;
  reportActiveRoutes();
  RulesChanged = true;
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
  Impl->Peers.start(Impl->Timers.now());
  // The number of balancers decides how the configuration is followed.
  Impl->Site.start();
  Impl->Routes.start();
  Impl->Evacuations.start();
  Impl->sendSyncMessages();
  Impl->Timers.every(SyncPeriod,
                     Impl->guarded([this] { Impl->sendSyncMessages(); }));
  Impl->Timers.every(RecordCheckPeriod,
                     Impl->guarded([this] { Impl->maintainRecord(); }));
  Impl->Timers.every(SnapshotCheckPeriod,
                     Impl->guarded([this] { Impl->maintainSnapshot(); }));
  Impl->Timers.every(LagCheckPeriod,
                     Impl->guarded([this] { Impl->checkRoutesLag(); }));
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
  callback_timer Timer(Impl->Hooks.OnCallback, callback_kind::ServeCopies);
  platform_reply List;
  List.StoreVersion = Feed->version();
  for (const auto &[Name, Object] : Feed->objects())
    List.Objects.push_back(Object);
  std::string Text = encodeObjectList(List);
  Timer.setItems(Text.size());
  return Text;
}

/// The data of a snapshot is not used for new callers until it is known how old
/// it is, unless nobody can tell.
bool directory::ready() const {
  constexpr duration DatingTime = std::chrono::seconds(3);
  const bool IsDated =
      Impl->Routes.asOf() || Impl->hasRunFor(DatingTime, Impl->Timers.now());
  return Impl->Activation.known() && Impl->Site.known() && IsDated;
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

std::vector<service_flow_limit> directory::flowLimits() const {
  return Impl->Activation.active().FlowLimits;
}

std::vector<service_warmup> directory::warmupRates() const {
  const route_table *Newest = Impl->Activation.newest();
  return Newest ? Newest->Warmups : std::vector<service_warmup>();
}

std::uint64_t directory::newestRoutesVersion() const {
  return Impl->newestVersion();
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

bool directory::isInOwnZone(const endpoint &Peer) const {
  return Impl->Peers.isOfZone(Peer, Impl->ZoneNumber);
}

std::size_t directory::livePeers() const {
  return Impl->Peers.live(Impl->Timers.now());
}

} // namespace marjoramrail
