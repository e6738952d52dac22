#include "directory/peer_selector.h"

namespace marjoramrail::internal {

void peer_selector::add(const endpoint &Peer, std::uint32_t Zone) {
  if (Peer == Self)
    return;
  peer &State = Peers[Peer];
  if (!State.LastMessageAt && Zone != 0)
    State.Zone = Zone;
}

void peer_selector::recordMessage(const endpoint &Peer, std::uint32_t Zone,
                                  instant Now, bool IsServed) {
  if (Peer != Self)
    Peers[Peer] = {Now, Zone, IsServed, 0, Now};
}

std::size_t peer_selector::live(instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(),
                    [&](const auto &Peer) { return Peer.second.isLive(Now); }));
}

bool peer_selector::anyServed(instant Now) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &Peer) {
    return Peer.second.IsServed && Peer.second.isLive(Now);
  });
}

bool peer_selector::isAhead(const endpoint &Peer, const peer &State,
                            instant Now, bool AnyServed) const {
  const bool IsEligible = State.IsServed || !AnyServed;
  return Peer < Self && State.isLive(Now) && IsEligible;
}

std::size_t peer_selector::countAhead(
    instant Now, const std::function<bool(const peer &)> &Counts) const {
  const bool AnyServed = anyServed(Now);
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Item) {
        const auto &[Peer, State] = Item;
        return isAhead(Peer, State, Now, AnyServed) && Counts(State);
      }));
}

std::optional<endpoint> peer_selector::firstAhead(instant Now) const {
  if (isZoneLarge())
    return std::nullopt;
  const bool AnyServed = anyServed(Now);
  for (const auto &[Peer, State] : Peers)
    if (isAhead(Peer, State, Now, AnyServed))
      return Peer;
  return std::nullopt;
}

bool peer_selector::isServed(const endpoint &Peer) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.IsServed;
}

std::size_t peer_selector::rank(instant Now) const {
  if (isZoneLarge())
    return rankAmongContacts(Now);
  return countAhead(Now, [](const peer &) { return true; });
}

std::size_t peer_selector::watchers(instant Now) const {
  return std::max(MinWatchers, live(Now) / BalancersPerWatcher);
}

std::size_t peer_selector::rankIn(std::uint32_t Zone, instant Now) const {
  return countAhead(Now,
                    [Zone](const peer &State) { return State.Zone == Zone; });
}

std::size_t peer_selector::rankAmong(const std::vector<endpoint> &Addresses,
                                     instant Now) const {
  return static_cast<std::size_t>(std::count_if(
      Addresses.begin(), Addresses.end(), [&](const endpoint &Address) {
        const auto Found = Peers.find(Address);
        return Found != Peers.end() && Address < Self &&
               Found->second.isLive(Now) && Found->second.IsServed;
      }));
}

std::size_t peer_selector::liveIn(std::uint32_t Zone, instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Peer) {
        return Peer.second.isLive(Now) && Peer.second.Zone == Zone;
      }));
}

bool peer_selector::isOfZone(const endpoint &Peer, std::uint32_t Wanted) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.Zone == Wanted;
}

bool peer_selector::isDead(const endpoint &Peer, instant Now) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() && !Found->second.isLive(Now) &&
         Found->second.Unanswered >= DeadAfterMessages &&
         Now - Found->second.UnansweredSince >= DeadAfter;
}

void peer_selector::addOneOf(const std::vector<endpoint> &Peers,
                             std::vector<endpoint> &Chosen) {
  std::vector<endpoint> Left;
  for (const endpoint &Peer : Peers)
    if (std::find(Chosen.begin(), Chosen.end(), Peer) == Chosen.end())
      Left.push_back(Peer);
  if (Left.empty() || Chosen.size() >= Fanout)
    return;
  std::uniform_int_distribution<std::size_t> Place(0, Left.size() - 1);
  Chosen.push_back(Left[Place(Random)]);
}

std::optional<endpoint> peer_selector::unknownLowerPeer(bool OfZone,
                                                        instant Now) const {
  const bool IsAhead =
      OfZone ? rankIn(Zone, Now) < WatchersPerZone : rank(Now) < watchers(Now);
  if (!IsAhead)
    return std::nullopt;
  for (const auto &[Peer, State] : Peers)
    if (Peer < Self && !State.isLive(Now) && (!OfZone || State.Zone == Zone) &&
        State.Unanswered < MaxTriesOfLowerRank)
      return Peer;
  return std::nullopt;
}

peer_selector::candidates peer_selector::candidatesAt(instant Now) const {
  candidates Found;
  const bool AnyServed = anyServed(Now);
  // Watchers contact the first few among them, so that all watchers soon have
  // the same data.
  const std::size_t MaxWatchers =
      rank(Now) < watchers(Now) ? MinWatchers : watchers(Now);
  const std::size_t MaxZoneWatchers =
      std::max(WatchersPerZone, liveIn(Zone, Now) / BalancersPerWatcher);
  for (const auto &[Peer, State] : Peers) {
    if (!State.isLive(Now)) {
      Found.Unresponsive.push_back(Peer);
      continue;
    }
    Found.Live.push_back(Peer);
    if (!State.IsServed && AnyServed)
      continue;
    if (Found.Watchers.size() < MaxWatchers)
      Found.Watchers.push_back(Peer);
    if (State.Zone == Zone && Found.ZoneWatchers.size() < MaxZoneWatchers)
      Found.ZoneWatchers.push_back(Peer);
  }
  return Found;
}

std::vector<endpoint> peer_selector::choosePeers(instant Now, data_age Age) {
  const bool IsLarge = isZoneLarge();
  if (IsLarge && !std::exchange(WasZoneLarge, true))
    DiscoversSince = Now;
  std::vector<endpoint> Chosen = IsLarge ? choosePeersOfLargeZone(Now, Age)
                                         : choosePeersOfSmallZone(Now, Age);
  for (const endpoint &Peer : Chosen) {
    peer &State = Peers[Peer];
    if (State.Unanswered++ == 0)
      State.UnansweredSince = Now;
  }
  return Chosen;
}

std::vector<endpoint> peer_selector::choosePeersOfSmallZone(instant Now,
                                                            data_age Age) {
  const candidates Found = candidatesAt(Now);
  std::vector<endpoint> Chosen;
  const bool ContactsWatcher = ++Rounds % 2 == 0;
  if (const auto Ahead = unknownLowerPeer(/*OfZone=*/!ContactsWatcher, Now))
    Chosen.push_back(*Ahead);
  addOneOf(ContactsWatcher ? Found.Watchers : Found.ZoneWatchers, Chosen);
  if (Rounds % RoundsPerUnresponsivePeer == 0)
    addOneOf(Found.Unresponsive, Chosen);
  if (Age != data_age::Current)
    addOneOf(ContactsWatcher ? Found.ZoneWatchers : Found.Watchers, Chosen);
  for (const std::vector<endpoint> *Any : {&Found.Live, &Found.Unresponsive})
    for (std::size_t I = 0; I < Fanout; ++I)
      addOneOf(*Any, Chosen);
  return Chosen;
}

} // namespace marjoramrail::internal
