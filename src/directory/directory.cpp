#include "marjoramrail/directory.h"

#include "directory/object_feed.h"
#include "directory/peer_greeting.h"
#include "directory/peer_ring.h"
#include "directory/route_gate.h"

#include <nlohmann/json.hpp>

namespace marjoramrail {

using namespace internal;
using json = nlohmann::json;

namespace {

constexpr duration GreetingPeriod = std::chrono::milliseconds(300);
/// All watchers of a kind together let a watch run out about this often, so
/// that some peer is always able to date its knowledge by less than SettleTime,
/// at a rate of calls that does not grow with the fleet.
constexpr duration WatchSpacing = std::chrono::milliseconds(300);
/// A balancer without peers dates its knowledge alone, within SettleTime.
constexpr duration LoneWatch = std::chrono::milliseconds(900);
/// Longer waits only delay the notice that a connection has gone silent.
constexpr duration MostWatch = std::chrono::seconds(20);
/// Balancers that watch our own objects, in the whole fleet: peers hear their
/// changes in replies to greetings.
constexpr std::size_t SiteWatchers = peer_ring::FirstInRank;
/// Balancers of a zone that watch the configuration: it is too large for a
/// datagram, and a copy within the zone crosses no link between zones.
constexpr std::size_t RoutesWatchersInZone = 2;
/// A balancer whose knowledge is older watches by itself: the watchers may be
/// cut off from the store, or it from them.
constexpr duration TrustPeersFor = std::chrono::milliseconds(900);
/// A balancer's own watch usually brings news within this time; after that it
/// asks the peer that has them.
constexpr duration PullDelay = std::chrono::milliseconds(120);
constexpr duration RecordPeriod = std::chrono::milliseconds(200);
/// After a write of the record, its outcome has come by the watch.
constexpr duration RecordRecheck = std::chrono::milliseconds(600);
constexpr duration RecordExpiryCheck = std::chrono::seconds(10);
/// The next in rank writes the record when the ones before have not.
constexpr duration RankDelay = std::chrono::milliseconds(200);
/// Ranks that wait their turn; beyond, a store that many cannot reach would
/// hold up the record longer than SettleTime.
constexpr std::size_t MostRanks = 4;

constexpr const char *TargetPrefix = "target.";
constexpr const char *BalancerPrefix = "balancer.";
constexpr const char *RecordName = "routes";

bool hasPrefix(const std::string &Name, const char *Prefix) {
  return Name.rfind(Prefix, 0) == 0;
}

} // namespace

struct directory::impl {
  impl(timer_service &Timers, directory_platform Platform,
       directory_settings Settings, directory_hooks Hooks);
  ~impl() { *Alive = false; }

  object_feed::hooks feedHooks(const std::string &Kind,
                               void (impl::*OnObject)(const platform_object &),
                               std::optional<duration> (impl::*Wait)());
  std::optional<duration> routesWait();
  std::optional<duration> siteWait();
  std::optional<duration> nextWait(const object_feed &Feed, bool IsWatcher,
                                   std::size_t Watchers);

  void onRoutesObject(const platform_object &Object);
  void onSiteObject(const platform_object &Object);
  void onBalancer(const platform_object &Object);
  void takeNewestRoutes();
  void changed();
  void armGate();

  void greet();
  void input(const endpoint &From, std::span<const std::uint8_t> Bytes);
  peer_greeting greeting() const;
  kind_knowledge knowledgeOf(const object_feed &Feed) const;
  void learnFrom(const endpoint &Peer, object_feed &Feed,
                 const std::string &Kind, const kind_knowledge &Theirs,
                 instant Asked);
  void pull(const endpoint &Peer, object_feed &Feed, const std::string &Kind,
            std::uint64_t TheirChange);

  void keepRecord();
  void writeRecord(const std::string &Body);
  void writeSelf();
  std::string selfBody() const;

  template <typename Callable> auto guarded(Callable Task) {
    return [Alive = Alive, Task = std::move(Task)](auto &&...Arguments) {
      if (*Alive)
        Task(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }

  timer_service &Timers;
  directory_platform Platform;
  directory_settings Settings;
  directory_hooks Hooks;
  std::mt19937_64 Random;
  peer_ring Peers;
  route_record Record;
  route_gate Gate;
  object_feed Routes;
  object_feed Site;
  std::uint32_t ZoneNumber;
  std::map<std::string, target_entry> Targets;
  std::optional<route_table> Decoded;
  bool Pulling = false;
  bool RecordBusy = false;
  bool SelfBusy = false;
  std::optional<instant> RecordNeededSince;
  std::optional<instant> RecheckRecordAt;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

directory::impl::impl(timer_service &Timers, directory_platform Platform,
                      directory_settings Settings, directory_hooks Hooks)
    : Timers(Timers), Platform(std::move(Platform)),
      Settings(std::move(Settings)), Hooks(std::move(Hooks)),
      Random(std::hash<std::string>()(this->Settings.Name)),
      Peers(this->Settings.Self, Random()), Record(this->Settings.FlowLife),
      Routes(Timers, this->Platform.Routes, this->Settings.RoutesKind,
             feedHooks(this->Settings.RoutesKind, &impl::onRoutesObject,
                       &impl::routesWait)),
      Site(Timers, this->Platform.Site, this->Settings.SiteKind,
           feedHooks(this->Settings.SiteKind, &impl::onSiteObject,
                     &impl::siteWait)),
      ZoneNumber(
          static_cast<std::uint32_t>(serviceNumber(this->Settings.Zone))) {
  for (const endpoint &Seed : this->Settings.Seeds)
    Peers.know(Seed);
}

object_feed::hooks
directory::impl::feedHooks(const std::string &Kind,
                           void (impl::*OnObject)(const platform_object &),
                           std::optional<duration> (impl::*Wait)()) {
  object_feed::hooks Feed;
  Feed.OnObject = [this, OnObject](const platform_object &Object) {
    (this->*OnObject)(Object);
  };
  Feed.OnBatch = [this] { changed(); };
  Feed.Wait = [this, Wait] { return (this->*Wait)(); };
  Feed.OnContact = [this, Kind](bool Answers, const std::string &Reason) {
    Hooks.OnEvent(Answers ? event_kind::StoreRegained : event_kind::StoreLost,
                  Kind + ": " + Reason);
  };
  return Feed;
}

std::optional<duration> directory::impl::routesWait() {
  const instant Now = Timers.now();
  return nextWait(Routes, Peers.rankIn(ZoneNumber, Now) < RoutesWatchersInZone,
                  Peers.firstOfZones(RoutesWatchersInZone, ZoneNumber, Now));
}

std::optional<duration> directory::impl::siteWait() {
  const instant Now = Timers.now();
  return nextWait(Site, Peers.rank(Now) < SiteWatchers,
                  std::min(Peers.live(Now) + 1, SiteWatchers));
}

/// Spread by a quarter, or balancers that started together would all ask at
/// the same moment.
std::optional<duration> directory::impl::nextWait(const object_feed &Feed,
                                                  bool IsWatcher,
                                                  std::size_t Watchers) {
  const bool IsFresh =
      Feed.asOf() && Timers.now() - *Feed.asOf() <= TrustPeersFor;
  if (!IsWatcher && IsFresh)
    return std::nullopt;
  if (!IsWatcher || Watchers <= 1)
    return LoneWatch;
  const duration Wait =
      std::min(WatchSpacing * static_cast<std::int64_t>(Watchers), MostWatch);
  return Wait * std::uniform_int_distribution<int>(75, 100)(Random) / 100;
}

void directory::impl::onRoutesObject(const platform_object &Object) {
  if (Object.Key.Name != Settings.RoutesName || Object.Deleted)
    return;
  boost::leaf::try_handle_all(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Table, Hooks.DecodeRoutes(Object));
        if (!Decoded || Table.Version > Decoded->Version)
          Decoded = Table;
        return {};
      },
      [&](const failure &Failure) {
        // The last good one stays in force.
        Hooks.OnEvent(event_kind::RoutesRefused, toText(Failure));
      },
      [&] { Hooks.OnEvent(event_kind::RoutesRefused, "no reason was given"); });
}

void directory::impl::onSiteObject(const platform_object &Object) {
  const std::string &Name = Object.Key.Name;
  if (Name == RecordName && !Object.Deleted)
    return Record.load(Object.Body, Timers.now());
  if (hasPrefix(Name, BalancerPrefix))
    return onBalancer(Object);
  if (!hasPrefix(Name, TargetPrefix))
    return;
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

void directory::impl::onBalancer(const platform_object &Object) {
  const json Body = json::parse(Object.Body, nullptr, false);
  if (Object.Deleted || !Body.is_object() || !Body.contains("self") ||
      !Body["self"].is_string())
    return;
  if (auto Self = parseEndpoint(Body["self"].get<std::string>()))
    Peers.know(*Self);
}

void directory::impl::changed() {
  takeNewestRoutes();
  RecordNeededSince = RecordNeededSince.value_or(Timers.now());
  Hooks.OnChange();
}

/// The first table waits for the record, which tells what of it is new.
void directory::impl::takeNewestRoutes() {
  if (!Decoded || !Site.known())
    return;
  if (!Gate.take(*Decoded, Record, Timers.now()))
    return;
  Hooks.OnEvent(event_kind::RoutesKnown,
                "version " + std::to_string(Decoded->Version));
  armGate();
}

void directory::impl::armGate() {
  const auto Due = Gate.nextChange();
  if (!Due)
    return;
  Timers.after(*Due - Timers.now(), guarded([this] {
    if (!Gate.advance(Timers.now()))
      return;
    Hooks.OnEvent(event_kind::RoutesInForce,
                  "version " + std::to_string(Gate.versionInForce()));
    Hooks.OnChange();
    armGate();
  }));
}

//===----------------------------------------------------------------------===//
// Peers
//===----------------------------------------------------------------------===//

kind_knowledge directory::impl::knowledgeOf(const object_feed &Feed) const {
  kind_knowledge Knowledge;
  if (!Feed.known())
    return Knowledge;
  Knowledge.Version = Feed.version();
  Knowledge.LastChange = Feed.lastChange();
  if (const auto AsOf = Feed.asOf())
    Knowledge.AgeUs = (Timers.now() - *AsOf).count();
  return Knowledge;
}

peer_greeting directory::impl::greeting() const {
  peer_greeting Greeting;
  Greeting.Self = Settings.Self;
  Greeting.Zone = ZoneNumber;
  Greeting.AskedUs = Timers.now().time_since_epoch().count();
  Greeting.Routes = knowledgeOf(Routes);
  Greeting.Site = knowledgeOf(Site);
  return Greeting;
}

void directory::impl::greet() {
  const std::vector<std::uint8_t> Bytes = encodeGreeting(greeting());
  for (const endpoint &Peer : Peers.round(Timers.now()))
    Hooks.Send(Peer, Bytes);
}

void directory::impl::input(const endpoint &,
                            std::span<const std::uint8_t> Bytes) {
  const auto Greeting = decodeGreeting(Bytes);
  if (!Greeting)
    return;
  Peers.heard(Greeting->Self, Greeting->Zone, Timers.now());
  if (!Greeting->IsReply) {
    peer_greeting Reply = greeting();
    Reply.IsReply = true;
    Reply.AskedUs = Greeting->AskedUs;
    Reply.ChangesSince = Greeting->Site.Version;
    if (Site.lastChange() > Greeting->Site.Version)
      Reply.Changes = Site.changesSince(Greeting->Site.Version);
    Hooks.Send(Greeting->Self, encodeGreeting(Reply));
    return;
  }
  const instant Asked{duration(Greeting->AskedUs)};
  if (Asked > Timers.now())
    return;
  if (Greeting->Changes)
    Site.takeChanges(*Greeting->Changes, Greeting->ChangesSince,
                     Greeting->Site.Version);
  learnFrom(Greeting->Self, Routes, Settings.RoutesKind, Greeting->Routes,
            Asked);
  learnFrom(Greeting->Self, Site, Settings.SiteKind, Greeting->Site, Asked);
}

void directory::impl::learnFrom(const endpoint &Peer, object_feed &Feed,
                                const std::string &Kind,
                                const kind_knowledge &Theirs, instant Asked) {
  if (Theirs.Version == 0)
    return;
  if (Theirs.AgeUs >= 0)
    Feed.confirm(Theirs.LastChange, Asked - duration(Theirs.AgeUs));
  const bool Behind = !Feed.known() || Theirs.LastChange > Feed.version();
  if (!Behind || Pulling)
    return;
  Pulling = true;
  Timers.after(PullDelay,
               guarded([this, Peer, &Feed, Kind, Change = Theirs.LastChange] {
                 pull(Peer, Feed, Kind, Change);
               }));
}

void directory::impl::pull(const endpoint &Peer, object_feed &Feed,
                           const std::string &Kind, std::uint64_t TheirChange) {
  if (Feed.known() && TheirChange <= Feed.version()) {
    Pulling = false;
    return;
  }
  Hooks.ListFromPeer(
      Peer, Kind,
      guarded([this, &Feed, Kind, Peer](const platform_reply &Reply) {
        Pulling = false;
        if (Reply.Outcome != platform_outcome::Ok)
          return;
        Hooks.OnEvent(event_kind::CopiedFromPeer,
                      Kind + " from " + toText(Peer));
        Feed.takeCopy(Reply);
      }));
}

//===----------------------------------------------------------------------===//
// What this balancer writes
//===----------------------------------------------------------------------===//

std::string directory::impl::selfBody() const {
  return json{{"self", toText(Settings.Self)}, {"zone", Settings.Zone}}.dump();
}

void directory::impl::writeSelf() {
  if (!Site.known() || SelfBusy)
    return;
  const std::string Name = BalancerPrefix + Settings.Name;
  const auto Held = Site.objects().find(Name);
  if (Held != Site.objects().end() &&
      json::parse(Held->second.Body, nullptr, false) == json::parse(selfBody()))
    return;
  platform_write Write;
  Write.Object.Key = {Settings.SiteKind, Name};
  Write.Object.Body = selfBody();
  Write.Expected = Held == Site.objects().end() ? 0 : Held->second.Version;
  SelfBusy = true;
  Platform.Site.Write(Write, guarded([this](const platform_reply &Reply) {
                        SelfBusy = Reply.Outcome == platform_outcome::Ok;
                      }));
}

void directory::impl::keepRecord() {
  writeSelf();
  const route_table *Newest = Gate.newest();
  if (RecheckRecordAt && Timers.now() >= *RecheckRecordAt) {
    RecheckRecordAt.reset();
    RecordNeededSince = RecordNeededSince.value_or(Timers.now());
  }
  if (!RecordNeededSince || !Newest || !Site.known() || RecordBusy)
    return;
  const auto Body = Record.update(*Newest, Timers.now());
  if (!Body) {
    RecordNeededSince.reset();
    // Former services leave the record in time.
    if (!RecheckRecordAt)
      RecheckRecordAt = Timers.now() + RecordExpiryCheck;
    return;
  }
  const auto Rank = std::min(Peers.rank(Timers.now()), MostRanks);
  if (Timers.now() - *RecordNeededSince >=
      RankDelay * static_cast<std::int64_t>(Rank))
    writeRecord(*Body);
}

void directory::impl::writeRecord(const std::string &Body) {
  const auto Held = Site.objects().find(RecordName);
  platform_write Write;
  Write.Object.Key = {Settings.SiteKind, RecordName};
  Write.Object.Body = Body;
  Write.Expected = Held == Site.objects().end() ? 0 : Held->second.Version;
  RecordBusy = true;
  Platform.Site.Write(Write, guarded([this](const platform_reply &) {
                        RecordBusy = false;
                        // The watch brings the record; until then nobody needs
                        // to write it again.
                        RecordNeededSince.reset();
                        RecheckRecordAt = Timers.now() + RecordRecheck;
                      }));
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
  Impl->Routes.start();
  Impl->Site.start();
  Impl->greet();
  Impl->Timers.every(GreetingPeriod, Impl->guarded([this] { Impl->greet(); }));
  Impl->Timers.every(RecordPeriod,
                     Impl->guarded([this] { Impl->keepRecord(); }));
}

void directory::input(const endpoint &From,
                      std::span<const std::uint8_t> Bytes) {
  Impl->input(From, Bytes);
}

bool directory::isPeerGreeting(std::span<const std::uint8_t> Bytes) {
  return isGreeting(Bytes);
}

std::optional<std::string> directory::serve(const std::string &Kind) const {
  const object_feed *Feed = nullptr;
  if (Kind == Impl->Settings.RoutesKind)
    Feed = &Impl->Routes;
  else if (Kind == Impl->Settings.SiteKind)
    Feed = &Impl->Site;
  if (!Feed || !Feed->known())
    return std::nullopt;
  platform_reply List;
  List.StoreVersion = Feed->version();
  for (const auto &[Name, Object] : Feed->objects())
    List.Objects.push_back(Object);
  return encodeObjectList(List);
}

bool directory::ready() const {
  return Impl->Gate.known() && Impl->Site.known();
}

std::vector<route_rule> directory::rules() const {
  return Impl->Gate.rules(Impl->Record);
}

std::vector<target_entry> directory::targets() const {
  std::vector<target_entry> All;
  for (const auto &[Name, Target] : Impl->Targets)
    All.push_back(Target);
  return All;
}

std::uint64_t directory::routesVersion() const {
  return Impl->Gate.versionInForce();
}

std::optional<instant> directory::knownAsOf() const {
  const auto Routes = Impl->Routes.asOf();
  const auto Site = Impl->Site.asOf();
  if (!Routes || !Site)
    return std::nullopt;
  return std::min(*Routes, *Site);
}

void directory::removeTarget(const endpoint &Agent) {
  if (Impl->Peers.rankIn(Impl->ZoneNumber, Impl->Timers.now()) != 0)
    return;
  for (const auto &[Name, Target] : Impl->Targets) {
    if (Target.Agent != Agent)
      continue;
    const auto Object = Impl->Site.objects().find(Name);
    if (Object == Impl->Site.objects().end())
      continue;
    Impl->Hooks.OnEvent(event_kind::TargetDown, Name);
    // A conflict means that someone has just written it: then it lives.
    Impl->Platform.Site.Remove(Object->second.Key, Object->second.Version,
                               [](const platform_reply &) {});
  }
}

std::size_t directory::livePeers() const {
  return Impl->Peers.live(Impl->Timers.now());
}

} // namespace marjoramrail
