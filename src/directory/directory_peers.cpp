#include "directory/directory_impl.h"

namespace marjoramrail {

/// A balancer's own watch usually brings news within this time; after that it
/// asks the peer that has them.
static constexpr duration PullDelay = std::chrono::milliseconds(120);
/// A whole kind may be a megabyte: a peer of another zone is asked only after
/// those of the own zone have had their turn.
static constexpr duration FarPullDelay = std::chrono::milliseconds(700);
/// A balancer that has just started is about to get the store's own list.
static constexpr duration FirstPullDelay = std::chrono::milliseconds(500);

/// What a balancer knows is asked for again well before SettleTime is over.
static constexpr duration OldNews = std::chrono::milliseconds(500);

kind_knowledge directory::impl::knowledgeOf(const object_feed &Feed) const {
  kind_knowledge Knowledge;
  // Peers would ask for what cannot be served before it is read.
  if (!Feed.known() || (&Feed == &Routes && Intake.busy()))
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
  Greeting.IsServed = Site.answering();
  Greeting.Routes = knowledgeOf(Routes);
  Greeting.Site = knowledgeOf(Site);
  return Greeting;
}

void directory::impl::greet() {
  const std::vector<std::uint8_t> Bytes = encodeGreeting(greeting());
  const instant Now = Timers.now();
  const auto AsOf = knownAsOf();
  const bool NeedsNews = !AsOf || Now - *AsOf > OldNews;
  for (const endpoint &Peer : Peers.round(Now, NeedsNews))
    Hooks.Send(Peer, Bytes);
}

void directory::impl::input(const endpoint &,
                            std::span<const std::uint8_t> Bytes) {
  auto Greeting = decodeGreeting(Bytes);
  if (!Greeting)
    return;
  Peers.heard(Greeting->Self, Greeting->Zone, Timers.now(), Greeting->IsServed);
  if (!Greeting->IsReply) {
    const measured_turn Turn(Hooks.OnTurn, turn_kind::AnswerGreeting);
    peer_greeting Reply = greeting();
    Reply.IsReply = true;
    Reply.AskedUs = Greeting->AskedUs;
    Reply.ChangesSince = Greeting->Site.Version;
    if (Site.lastChange() > Greeting->Site.Version)
      Reply.Changes = Site.changesSince(Greeting->Site.Version);
    Reply.ChangesUpTo = Site.version();
    fitChanges(Reply);
    Hooks.Send(Greeting->Self, encodeGreeting(Reply));
    return;
  }
  const instant Asked{duration(Greeting->AskedUs)};
  if (Asked > Timers.now())
    return;
  if (Greeting->Changes)
    takeChanges(*Greeting);
  learnFrom(Greeting->Self, Routes, Settings.RoutesKind, Greeting->Routes,
            Asked);
  const bool MoreComes = Greeting->Changes && Site.known();
  if (!MoreComes || Greeting->Site.LastChange <= Site.version())
    learnFrom(Greeting->Self, Site, Settings.SiteKind, Greeting->Site, Asked);
}

/// A reply holds what fits a datagram; the rest is asked for at once, as long
/// as each reply brings something.
void directory::impl::takeChanges(peer_greeting &Reply) {
  for (platform_object &Object : *Reply.Changes)
    Object.Key.Kind = Settings.SiteKind;
  const std::uint64_t Before = Site.version();
  Site.takeChanges(*Reply.Changes, Reply.ChangesSince, Reply.ChangesUpTo);
  if (Site.version() > Before && Site.version() < Reply.Site.LastChange)
    Hooks.Send(Reply.Self, encodeGreeting(greeting()));
}

void directory::impl::learnFrom(const endpoint &Peer, object_feed &Feed,
                                const std::string &Kind,
                                const kind_knowledge &Theirs, instant Asked) {
  if (Theirs.Version == 0)
    return;
  if (Theirs.AgeUs >= 0)
    Feed.confirm(Theirs.LastChange, Asked - duration(Theirs.AgeUs));
  const bool Behind = !Feed.known() || Theirs.LastChange > Feed.version();
  if (!Behind)
    return;
  Timers.after(pullDelay(Peer, Feed),
               guarded([this, Peer, &Feed, Kind, Change = Theirs.LastChange] {
                 pull(Peer, Feed, Kind, Change);
               }));
}

duration directory::impl::pullDelay(const endpoint &Peer,
                                    const object_feed &Feed) const {
  if (!Feed.known())
    return FirstPullDelay;
  return Peers.isOfZone(Peer, ZoneNumber) ? PullDelay : FarPullDelay;
}

void directory::impl::pull(const endpoint &Peer, object_feed &Feed,
                           const std::string &Kind, std::uint64_t TheirChange) {
  if (Pulling || (Feed.known() && TheirChange <= Feed.version()))
    return;
  Pulling = true;
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

} // namespace marjoramrail
