// Reads the store: the feeds of the objects, the evacuations, and what the
// objects say about routes, targets and balancers.

#include "directory/directory_impl.h"

namespace marjoramrail {

/// Longest wait of the first balancer between two calls for marjoramrail's own
/// objects in an outage. It alone retries them, and all others learn from it
/// that the store answers again.
static constexpr duration SiteRetryInterval = std::chrono::milliseconds(200);
/// Hundreds of balancers that start together learn from a few how old their
/// data is. If each called the store after SettleTime, the few would be slowed
/// down as well.
static constexpr duration LargeZoneStartupTime = std::chrono::seconds(3);

object_feed::hooks
directory::impl::feedHooks(const std::string &Kind,
                           void (impl::*OnObject)(const platform_object &),
                           const object_feed &Own, watch_decision Wait) {
  object_feed::hooks Feed;
  Feed.OnObject = [this, OnObject](const platform_object &Object) {
    (this->*OnObject)(Object);
  };
  Feed.OnBatch = [this] {
    if (PeersFound == 0 && Site.known())
      onFirstList();
    notifyChanges();
  };
  Feed.Wait = [this, &Own, Wait] { return Wait(watchStateOf(Own)); };
  Feed.FirstList = [this, IsSite = &Own == &Site](platform_callback Done) {
    if (IsSite)
      FirstLists.listSite(std::move(Done));
    else
      FirstLists.listRoutes(std::move(Done));
  };
  if (&Own == &Site)
    Feed.MaxRetryInterval = SiteRetryInterval;
  Feed.OnAvailability = [this, &Own, Kind](bool Answers,
                                           const std::string &Reason) {
    Hooks.OnEvent(Answers ? event_kind::StoreRecovered : event_kind::StoreLost,
                  Kind + ": " + Reason);
    if (Answers)
      tellPeersSoon();
    if (Answers && &Own == &Site)
      Timers.after(duration::zero(), guarded([this] { onSiteRecovered(); }));
  };
  return Feed;
}

/// The peers tell how old a snapshot is, and what has changed since.
void directory::impl::onFirstList() {
  PeersFound = Peers.size();
  if (!Site.asOf())
    tellPeersSoon();
}

/// The watches of the own objects are short, so they are the first to show that
/// connections have gone silent. A watch for evacuations on such a connection
/// would wait for seconds before it is renewed, and an operator relies on the
/// evacuation by then.
void directory::impl::onSiteRecovered() {
  Routes.reconsider();
  Evacuations.renew();
}

watch_state directory::impl::watchStateOf(const object_feed &Feed) const {
  const instant Now = Timers.now();
  watch_state State;
  State.DiscoveryTime = discoveryTime(Now);
  if (Peers.isZoneLarge())
    State.StartupTime = LargeZoneStartupTime;
  State.ReliesOnContacts = Peers.reliesOnContacts(Now);
  State.Rank = rank(Now);
  State.RankInZone = rankInZone(Now);
  State.Watchers = Peers.watchers(Now);
  State.LivePeers = Peers.live(Now);
  if (StartedAt)
    State.RunTime = Now - *StartedAt;
  if (const auto AsOf = Feed.asOf()) {
    State.DataAge = Now - *AsOf;
  } else if (Feed.known() && Peers.isZoneLarge()) {
    State.DataAge = State.RunTime;
    State.IsDated = false;
  }
  const store_availability &ForSite = Site.availability();
  State.IsAnswering = Feed.availability().answering();
  State.IsStoreLost = &Feed != &Site && !ForSite.answering();
  if (const auto &Failure = Feed.availability().lastFailure()) {
    State.SinceFailure = Now - Failure->EndedAt;
    // An answer to another call since then says that the store is back.
    if (!ForSite.answeredAt() || *ForSite.answeredAt() < Failure->EndedAt)
      State.SinceFailedCall = Now - Failure->BegunAt;
  }
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

void directory::impl::onRoutesObject(const platform_object &Object) {
  RoutesFirstKnown.note(Object.Version, Timers.now());
  if (Object.Key.Name != Settings.RoutesName || Object.Deleted)
    return;
  RoutesProgress.noteArrival(Object.Version,
                             CopySource ? toText(*CopySource) : "the store",
                             Timers.now());
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
  DecodedObjectVersion = Object.Version;
  Decoded = std::move(Table);
}

void directory::impl::onSiteObject(const platform_object &Object) {
  const std::string &Name = Object.Key.Name;
  if (Name == RecordName)
    return RecordWriter.take(Object);
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

/// Peers whose entry was deleted are not contacted any more, unless a message
/// from them arrives.
void directory::impl::onBalancer(const platform_object &Object) {
  const auto Peer = decodeBalancer(Object);
  if (!Peer)
    return;
  const std::uint32_t PeerZone =
      Peer->Zone.empty()
          ? 0
          : static_cast<std::uint32_t>(serviceNumber(Peer->Zone));
  if (Object.Deleted)
    Peers.forget(Peer->Self);
  else
    Peers.add(Peer->Self, PeerZone);
}

} // namespace marjoramrail
