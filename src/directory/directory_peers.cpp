#include "directory/directory_impl.h"

namespace marjoramrail {

/// A balancer's own watch usually returns a change within this time. After that
/// the change is copied from the peer that has it.
static constexpr duration PullDelay = std::chrono::milliseconds(120);
/// The list of a kind may be a megabyte: a peer of another zone is only
/// contacted after those of the own zone had time to answer.
static constexpr duration OtherZonePullDelay = std::chrono::milliseconds(700);
/// A balancer that has just started usually receives the store's own list
/// within this time.
static constexpr duration FirstPullDelay = std::chrono::milliseconds(500);

/// In a large zone many balancers start at the same time, and the list of each
/// contains deletions up to another moment. Most get the changes since their
/// own list from one of the peers whose list is older; copies of the complete
/// list would saturate the links of the contacts.
static constexpr duration LargeZonePullDelay = std::chrono::milliseconds(1500);

/// Shortest time between two requests for history.
static constexpr duration HistoryRequestInterval =
    std::chrono::milliseconds(500);

/// Shortest time between two copies of the configuration. Those that follow
/// each other faster are copied together; a small VM could not read each.
static constexpr duration RoutesPullInterval = std::chrono::milliseconds(300);

/// Data older than this is refreshed, well before SettleTime expires.
static constexpr duration RefreshAfter = std::chrono::milliseconds(500);
/// Data of this age should have been refreshed: the usual sources do not
/// provide it. Before SettleTime expires, other sources have time to answer.
static constexpr duration OverdueAfter = std::chrono::milliseconds(1000);

replication_state
directory::impl::replicationStateOf(const object_feed &Feed) const {
  replication_state State;
  // Peers would request data that cannot be served while it is being read.
  if (!Feed.known() || (&Feed == &Routes && Loader.busy()))
    return State;
  const instant Now = Timers.now();
  State.Version = Feed.version();
  State.LastChange = Feed.lastChange();
  if (const auto AsOf = Feed.asOf())
    State.AgeUs = (Now - *AsOf).count();
  if (&Feed == &Routes)
    State.FirstKnownAgeUs =
        (Now - RoutesFirstKnown.since(State.LastChange, Now)).count();
  return State;
}

sync_message directory::impl::makeSyncMessage() const {
  sync_message Message;
  Message.Self = Settings.Self;
  Message.Zone = ZoneNumber;
  Message.RequestedAtUs = Timers.now().time_since_epoch().count();
  Message.IsServed = Site.availability().answering() && !IsLeaving;
  Message.Routes = replicationStateOf(Routes);
  Message.Site = replicationStateOf(Site);
  Message.Evacuations = Evacuations.table();
  return Message;
}

bool directory::impl::isFresh(const object_feed &Feed) const {
  return Feed.asOf() && Timers.now() - *Feed.asOf() <= PeerStateMaxAge;
}

void directory::impl::sendSyncMessages() {
  const std::vector<std::uint8_t> Bytes = encodeSyncMessage(makeSyncMessage());
  const instant Now = Timers.now();
  for (const endpoint &Peer : Peers.choosePeers(Now, dataAge(Now)))
    Hooks.Send(Peer, Bytes);
}

/// Data without a date is as old as the process.
data_age directory::impl::dataAge(instant Now) const {
  const instant AsOf = knownAsOf().value_or(StartedAt.value_or(Now));
  if (Now - AsOf > OverdueAfter)
    return data_age::Overdue;
  const bool IsCurrent = knownAsOf() && Now - AsOf <= RefreshAfter;
  return IsCurrent ? data_age::Current : data_age::Old;
}

void directory::impl::input(const endpoint &,
                            std::span<const std::uint8_t> Bytes) {
  auto Message = decodeSyncMessage(Bytes);
  if (!Message)
    return;
  Peers.recordMessage(Message->Self, Message->Zone, Timers.now(),
                      Message->IsServed);
  Evacuations.takeFromPeer(Message->Evacuations, Message->Self);
  if (!Message->IsReply) {
    if (Message->Routes.Version != 0)
      followPeer(Message->Self, Routes, Settings.RoutesKind, Message->Routes);
    const callback_timer Timer(Hooks.OnCallback,
                               callback_kind::AnswerSyncMessage);
    sync_message Reply = makeSyncMessage();
    Reply.IsReply = true;
    Reply.RequestedAtUs = Message->RequestedAtUs;
    Reply.ChangesSince = Message->Site.Version;
    if (Site.lastChange() > Message->Site.Version)
      Reply.Changes = Site.changesSince(Message->Site.Version);
    if (Site.lastChange() > Message->Site.Version && !Reply.Changes)
      provideHistory(*Message);
    Reply.ChangesUpTo = Site.version();
    fitChanges(Reply);
    Hooks.Send(Message->Self, encodeSyncMessage(Reply));
    return;
  }
  const instant RequestedAt{duration(Message->RequestedAtUs)};
  if (RequestedAt > Timers.now())
    return;
  if (Message->Changes)
    applyChanges(*Message);
  applySyncState(Message->Self, Routes, Settings.RoutesKind, Message->Routes,
                 RequestedAt);
  const bool MoreFollows = Message->Changes && Site.known();
  if (!MoreFollows || Message->Site.LastChange <= Site.version())
    applySyncState(Message->Self, Site, Settings.SiteKind, Message->Site,
                   RequestedAt);
}

/// When a site starts, every balancer has listed the objects at another moment
/// and lacks what changed before the lists of others. If the contacts did not
/// request these changes from the store, each balancer would have to.
void directory::impl::provideHistory(const sync_message &Request) {
  const instant Now = Timers.now();
  const bool IsOwnZone = Request.Zone == ZoneNumber;
  // A balancer that knows no other yet asks the seeds, of whatever zone.
  const bool IsAsked = IsSeed || (IsOwnZone && Peers.isContact(Now));
  if (!Peers.isZoneLarge() || !IsAsked || Request.Site.Version == 0 ||
      Now < NextHistoryRequest)
    return;
  NextHistoryRequest = Now + HistoryRequestInterval;
  Site.requestHistory(Request.Site.Version);
}

/// A reply holds as many changes as fit one datagram. The rest is requested at
/// once, as long as each reply makes progress. In a large zone only contacts do
/// so across zones; the others get the changes from them.
void directory::impl::applyChanges(sync_message &Reply) {
  for (platform_object &Object : *Reply.Changes)
    Object.Key.Kind = Settings.SiteKind;
  const std::uint64_t Before = Site.version();
  Site.applyChanges(*Reply.Changes, Reply.ChangesSince, Reply.ChangesUpTo);
  const bool MayContinue = Reply.Zone == ZoneNumber || !Peers.isZoneLarge() ||
                           Peers.isContact(Timers.now());
  if (MayContinue && Site.version() > Before &&
      Site.version() < Reply.Site.LastChange)
    Hooks.Send(Reply.Self, encodeSyncMessage(makeSyncMessage()));
}

void directory::impl::applySyncState(const endpoint &Peer, object_feed &Feed,
                                     const std::string &Kind,
                                     const replication_state &PeerState,
                                     instant RequestedAt) {
  if (PeerState.Version == 0)
    return;
  const bool WasFresh = isFresh(Feed);
  if (PeerState.AgeUs >= 0)
    Feed.confirm(PeerState.LastChange, RequestedAt - duration(PeerState.AgeUs));
  if (&Feed == &Site && !WasFresh && isFresh(Feed))
    tellPeersSoon();
  followPeer(Peer, Feed, Kind, PeerState);
}

/// Copies what \p Peer knows and this balancer does not, unless it gets to know
/// it from elsewhere first.
void directory::impl::followPeer(const endpoint &Peer, object_feed &Feed,
                                 const std::string &Kind,
                                 const replication_state &PeerState) {
  // Counted from now, not from the request: the reply takes time, and the
  // change must not look older than it is.
  if (&Feed == &Routes && PeerState.FirstKnownAgeUs >= 0)
    noteRoutesKnown(PeerState.LastChange,
                    Timers.now() - duration(PeerState.FirstKnownAgeUs));
  const bool Behind = !Feed.known() || PeerState.LastChange > Feed.version();
  if (!Behind)
    return;
  Timers.after(pullDelay(Peer, Feed), guarded([this, Peer, &Feed, Kind,
                                               Change = PeerState.LastChange] {
                 pull(Peer, Feed, Kind, Change);
               }));
}

duration directory::impl::pullDelay(const endpoint &Peer,
                                    const object_feed &Feed) const {
  if (!Feed.known())
    return FirstPullDelay;
  if (&Feed == &Site && Peers.isZoneLarge())
    return LargeZonePullDelay;
  if (!Peers.isOfZone(Peer, ZoneNumber))
    return OtherZonePullDelay;
  const bool Watches =
      &Feed != &Routes || routesWatchWait(watchStateOf(Routes)).has_value();
  return Watches ? PullDelay : duration::zero();
}

void directory::impl::pull(const endpoint &Peer, object_feed &Feed,
                           const std::string &Kind,
                           std::uint64_t PeerLastChange) {
  if (Pulling || (Feed.known() && PeerLastChange <= Feed.version()))
    return;
  const instant Now = Timers.now();
  if (&Feed == &Routes && Now < NextRoutesPull) {
    Timers.after(NextRoutesPull - Now,
                 guarded([this, Peer, &Feed, Kind, PeerLastChange] {
                   pull(Peer, Feed, Kind, PeerLastChange);
                 }));
    return;
  }
  if (&Feed == &Routes)
    NextRoutesPull = Now + RoutesPullInterval;
  Pulling = true;
  Hooks.ListFromPeer(
      Peer, Kind,
      guarded([this, &Feed, Kind, Peer](const platform_reply &Reply) {
        Pulling = false;
        if (Reply.Outcome != platform_outcome::Ok)
          return;
        Hooks.OnEvent(event_kind::CopiedFromPeer,
                      Kind + " from " + toText(Peer));
        CopySource = Peer;
        Feed.applyPeerList(Reply);
        CopySource.reset();
      }));
}

} // namespace marjoramrail
