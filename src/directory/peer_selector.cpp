#include "directory/peer_selector.h"

#include <array>
#include <limits>

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

std::size_t peer_selector::countAhead(
    instant Now, const std::function<bool(const peer &)> &Counts) const {
  const bool AnyServed = anyServed(Now);
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Item) {
        const auto &[Peer, State] = Item;
        const bool IsEligible = State.IsServed || !AnyServed;
        return Peer < Self && State.isLive(Now) && IsEligible && Counts(State);
      }));
}

std::size_t peer_selector::rank(instant Now) const {
  if (isZoneLarge())
    return rankAmongContacts(Now);
  return countAhead(Now, [](const peer &) { return true; });
}

std::size_t peer_selector::watchers(instant Now) const {
  return std::max(MinWatchers, live(Now) / BalancersPerWatcher);
}

//===----------------------------------------------------------------------===//
// Large zones
//===----------------------------------------------------------------------===//

std::set<std::uint32_t> peer_selector::otherZones() const {
  std::set<std::uint32_t> Zones;
  for (const auto &[Peer, State] : Peers)
    if (State.Zone != Zone && State.Zone != 0)
      Zones.insert(State.Zone);
  return Zones;
}

bool peer_selector::isZoneLarge() const {
  std::size_t InZone = 1;
  bool HasOtherZone = false;
  for (const auto &[Peer, State] : Peers) {
    InZone += State.Zone == Zone;
    HasOtherZone |= State.Zone != Zone && State.Zone != 0;
  }
  return InZone >= LargeZone && HasOtherZone;
}

peer_selector::peer_range
peer_selector::firstOf(std::uint32_t Of, instant Now,
                       bool (peer::*Counts)(instant Now) const,
                       bool AssumesRunning) const {
  const std::size_t Most = ContactCandidates * contactsOfZone(liveIn(Of, Now));
  peer_range First;
  for (const auto &[Peer, State] : Peers) {
    if (First.Peers.size() == Most)
      break;
    const bool IsRunning =
        (State.*Counts)(Now) || (AssumesRunning && !State.LastMessageAt);
    if (State.Zone != Of || !IsRunning)
      continue;
    First.Peers.push_back(Peer);
    First.AnyServed |= State.IsServed;
  }
  return First;
}

std::size_t peer_selector::placeInZone(instant Now) const {
  const bool AssumesRunning =
      DiscoversSince && Now - *DiscoversSince < DiscoveryTime;
  const peer_range First =
      firstOf(Zone, Now, &peer::isResponding, AssumesRunning);
  std::size_t Ahead = 0;
  std::size_t EligibleAhead = 0;
  for (const endpoint &Peer : First.Peers) {
    if (Peer > Self)
      break;
    ++Ahead;
    EligibleAhead += Peers.at(Peer).IsServed || !First.AnyServed;
  }
  // All candidates are ahead: one of them is a contact even if none is served.
  const bool IsCandidate =
      Ahead < ContactCandidates * contactsOfZone(liveIn(Zone, Now));
  return IsCandidate ? EligibleAhead : Ahead;
}

bool peer_selector::isContact(instant Now) const {
  return placeInZone(Now) < contactsOfZone(liveIn(Zone, Now) + 1);
}

bool peer_selector::reliesOnContacts(instant Now) const {
  return isZoneLarge() && !isContact(Now) &&
         !contactsOf(Zone, Now, &peer::isResponding).empty();
}

std::vector<endpoint>
peer_selector::contactsOf(std::uint32_t Of, instant Now,
                          bool (peer::*Counts)(instant Now) const) const {
  const std::size_t Most = contactsOfZone(liveIn(Of, Now));
  const peer_range First = firstOf(Of, Now, Counts, /*AssumesRunning=*/false);
  std::vector<endpoint> Contacts;
  for (const endpoint &Peer : First.Peers)
    if (Contacts.size() < Most && (Peers.at(Peer).IsServed || !First.AnyServed))
      Contacts.push_back(Peer);
  return Contacts;
}

std::size_t peer_selector::rankAmongContacts(instant Now) const {
  if (!isContact(Now))
    return std::numeric_limits<std::size_t>::max();
  std::size_t Ahead = placeInZone(Now);
  for (const std::uint32_t Other : otherZones())
    for (const endpoint &Contact : contactsOf(Other, Now, &peer::isResponding))
      Ahead += Contact < Self;
  return Ahead;
}

/// A contact also tries to reach the peers of zones without a running contact;
/// otherwise a zone that was cut off would not be found again.
peer_selector::candidates
peer_selector::candidatesOfLargeZone(instant Now) const {
  candidates Found;
  Found.ZoneWatchers = contactsOf(Zone, Now, &peer::isUsable);
  Found.Watchers = Found.ZoneWatchers;
  std::set<std::uint32_t> Unreached;
  for (const std::uint32_t Other : otherZones()) {
    const auto Contacts = contactsOf(Other, Now, &peer::isUsable);
    for (auto *Of : {&Found.Watchers, &Found.OtherContacts})
      Of->insert(Of->end(), Contacts.begin(), Contacts.end());
    if (Contacts.empty())
      Unreached.insert(Other);
  }
  std::sort(Found.Watchers.begin(), Found.Watchers.end());
  Found.Watchers.resize(std::min(Found.Watchers.size(), MinWatchers));
  const bool IsContact = isContact(Now);
  for (const auto &[Peer, State] : Peers) {
    if (State.Zone == Zone)
      (State.isLive(Now) ? Found.Live : Found.Unresponsive).push_back(Peer);
    else if (IsContact && Unreached.contains(State.Zone))
      Found.Unresponsive.push_back(Peer);
  }
  return Found;
}

void peer_selector::addAsContact(const candidates &Found, data_age Age,
                                 std::vector<endpoint> &Chosen) {
  // The first watcher has the newest data; the others must know each other to
  // agree on their ranks.
  constexpr std::array<std::size_t, 4> Turns = {0, 1, 0, 2};
  const std::size_t Turn = Turns[Rounds % Turns.size()];
  if (!Found.Watchers.empty())
    Chosen.push_back(Found.Watchers[std::min(Turn, Found.Watchers.size() - 1)]);
  if (Age != data_age::Current && !Found.Watchers.empty())
    addOneOf({Found.Watchers.front()}, Chosen);
  if (Turn == 0 || Found.Watchers.empty())
    addOneOf(Found.OtherContacts, Chosen);
}

std::vector<endpoint> peer_selector::choosePeersOfLargeZone(instant Now,
                                                            data_age Age) {
  const candidates Found = candidatesOfLargeZone(Now);
  std::vector<endpoint> Chosen;
  ++Rounds;
  if (const auto Ahead = unknownLowerPeer(/*OfZone=*/true, Now))
    Chosen.push_back(*Ahead);
  if (Rounds % RoundsPerUnresponsivePeer == 0)
    addOneOf(Found.Unresponsive, Chosen);
  if (isContact(Now)) {
    addAsContact(Found, Age, Chosen);
  } else {
    addOneOf(Found.ZoneWatchers, Chosen);
    if (Age == data_age::Overdue)
      addOneOf(Found.OtherContacts, Chosen);
    if (Age == data_age::Old)
      addOneOf(Found.ZoneWatchers, Chosen);
  }
  for (const std::vector<endpoint> *Any : {&Found.Live, &Found.Unresponsive})
    for (std::size_t I = 0; I < Fanout; ++I)
      addOneOf(*Any, Chosen);
  return Chosen;
}

//===----------------------------------------------------------------------===//
// Selection
//===----------------------------------------------------------------------===//

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
