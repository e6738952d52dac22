#include "directory/peer_ring.h"

namespace marjoramrail::internal {

void peer_ring::know(const endpoint &Peer, std::uint32_t Zone) {
  if (Peer == Self)
    return;
  peer &State = Peers[Peer];
  if (!State.HeardAt && Zone != 0)
    State.Zone = Zone;
}

void peer_ring::heard(const endpoint &Peer, std::uint32_t Zone, instant Now,
                      bool IsServed) {
  if (Peer != Self)
    Peers[Peer] = {Now, Zone, IsServed, 0, Now};
}

std::size_t peer_ring::live(instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(),
                    [&](const auto &Peer) { return Peer.second.isLive(Now); }));
}

bool peer_ring::anyServed(instant Now) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &Peer) {
    return Peer.second.IsServed && Peer.second.isLive(Now);
  });
}

std::size_t
peer_ring::countAhead(instant Now,
                      const std::function<bool(const peer &)> &Counts) const {
  const bool AnyServed = anyServed(Now);
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Item) {
        const auto &[Peer, State] = Item;
        const bool TakesDuties = State.IsServed || !AnyServed;
        return Peer < Self && State.isLive(Now) && TakesDuties && Counts(State);
      }));
}

std::size_t peer_ring::rank(instant Now) const {
  return countAhead(Now, [](const peer &) { return true; });
}

std::size_t peer_ring::watchers(instant Now) const {
  return std::max(FirstInRank, live(Now) / BalancersAWatcher);
}

std::size_t peer_ring::rankIn(std::uint32_t Zone, instant Now) const {
  return countAhead(Now,
                    [Zone](const peer &State) { return State.Zone == Zone; });
}

std::size_t peer_ring::liveIn(std::uint32_t Zone, instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Peer) {
        return Peer.second.isLive(Now) && Peer.second.Zone == Zone;
      }));
}

bool peer_ring::isOfZone(const endpoint &Peer, std::uint32_t Wanted) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.Zone == Wanted;
}

bool peer_ring::isGone(const endpoint &Peer, instant Now) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() && !Found->second.isLive(Now) &&
         Found->second.Unanswered >= GoneAfterGreetings &&
         Now - Found->second.UnansweredSince >= GoneAfter;
}

void peer_ring::chooseOneOf(const std::vector<endpoint> &Peers,
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

std::optional<endpoint> peer_ring::unheardAhead(bool OfZone,
                                                instant Now) const {
  const bool IsAhead =
      OfZone ? rankIn(Zone, Now) < FirstInZone : rank(Now) < watchers(Now);
  if (!IsAhead)
    return std::nullopt;
  for (const auto &[Peer, State] : Peers)
    if (Peer < Self && !State.isLive(Now) && (!OfZone || State.Zone == Zone) &&
        State.Unanswered < TriesAhead)
      return Peer;
  return std::nullopt;
}

peer_ring::candidates peer_ring::candidatesAt(instant Now) const {
  candidates Found;
  const bool AnyServed = anyServed(Now);
  // Watchers greet the very first of them, so that all know the same soon.
  const std::size_t MostWatchers =
      rank(Now) < watchers(Now) ? FirstInRank : watchers(Now);
  const std::size_t MostOfZone =
      std::max(FirstInZone, liveIn(Zone, Now) / BalancersAWatcher);
  for (const auto &[Peer, State] : Peers) {
    if (!State.isLive(Now)) {
      Found.Silent.push_back(Peer);
      continue;
    }
    Found.Live.push_back(Peer);
    if (!State.IsServed && AnyServed)
      continue;
    if (Found.Watchers.size() < MostWatchers)
      Found.Watchers.push_back(Peer);
    if (State.Zone == Zone && Found.FirstOfZone.size() < MostOfZone)
      Found.FirstOfZone.push_back(Peer);
  }
  return Found;
}

std::vector<endpoint> peer_ring::round(instant Now, bool NeedsNews) {
  const candidates Found = candidatesAt(Now);
  std::vector<endpoint> Chosen;
  const bool AsksWatcher = ++Rounds % 2 == 0;
  if (const auto Ahead = unheardAhead(/*OfZone=*/!AsksWatcher, Now))
    Chosen.push_back(*Ahead);
  chooseOneOf(AsksWatcher ? Found.Watchers : Found.FirstOfZone, Chosen);
  if (Rounds % RoundsASilent == 0)
    chooseOneOf(Found.Silent, Chosen);
  if (NeedsNews)
    chooseOneOf(AsksWatcher ? Found.FirstOfZone : Found.Watchers, Chosen);
  for (const std::vector<endpoint> *Any : {&Found.Live, &Found.Silent})
    for (std::size_t Turn = 0; Turn < Fanout; ++Turn)
      chooseOneOf(*Any, Chosen);
  for (const endpoint &Peer : Chosen) {
    peer &State = Peers[Peer];
    if (State.Unanswered++ == 0)
      State.UnansweredSince = Now;
  }
  return Chosen;
}

} // namespace marjoramrail::internal
