// The part of peer_selector for balancers of a large zone: which balancers are
// its contacts, and whom contacts and all others contact.

#include "directory/peer_selector.h"

#include <algorithm>
#include <array>
#include <limits>

namespace marjoramrail::internal {

static bool isIn(const std::vector<endpoint> &Peers, const endpoint &Peer) {
  return std::find(Peers.begin(), Peers.end(), Peer) != Peers.end();
}

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
  const std::size_t Watcher = std::min(Turn + 1, Found.Watchers.size());
  if (Watcher > 0 && !isIn(Chosen, Found.Watchers[Watcher - 1]))
    Chosen.push_back(Found.Watchers[Watcher - 1]);
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

} // namespace marjoramrail::internal
