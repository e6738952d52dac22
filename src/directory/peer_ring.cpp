#include "directory/peer_ring.h"

namespace marjoramrail::internal {

void peer_ring::know(const endpoint &Peer) {
  if (Peer != Self)
    Peers.try_emplace(Peer);
}

void peer_ring::heard(const endpoint &Peer, std::uint32_t Zone, instant Now) {
  if (Peer != Self)
    Peers[Peer] = {Now, Zone, 0, Now};
}

std::size_t peer_ring::live(instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(),
                    [&](const auto &Peer) { return Peer.second.isLive(Now); }));
}

std::size_t peer_ring::rank(instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Peer) {
        return Peer.first < Self && Peer.second.isLive(Now);
      }));
}

std::size_t peer_ring::watchers(instant Now) const {
  return std::max(FirstInRank, live(Now) / BalancersAWatcher);
}

std::size_t peer_ring::rankIn(std::uint32_t Zone, instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Peer) {
        return Peer.first < Self && Peer.second.isLive(Now) &&
               Peer.second.Zone == Zone;
      }));
}

std::size_t peer_ring::firstOfZones(std::size_t Count, std::uint32_t OwnZone,
                                    instant Now) const {
  std::map<std::uint32_t, std::size_t> Zones;
  ++Zones[OwnZone];
  for (const auto &[Peer, State] : Peers)
    if (State.isLive(Now))
      ++Zones[State.Zone];
  std::size_t Sum = 0;
  for (const auto &[Zone, Balancers] : Zones)
    Sum += std::min(Balancers, Count);
  return Sum;
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

std::vector<endpoint> peer_ring::round(instant Now) {
  std::vector<endpoint> Live;
  std::vector<endpoint> Silent;
  for (const auto &[Peer, State] : Peers)
    (State.isLive(Now) ? Live : Silent).push_back(Peer);
  // One of the first in rank, then any.
  if (++Rounds % 2 == 0)
    std::stable_partition(Live.begin(), Live.end(), [&](const endpoint &Peer) {
      return isOfZone(Peer, Zone);
    });
  // Watchers greet the very first of them, so that all know the same soon.
  const std::size_t Watchers = watchers(Now);
  const std::size_t First = rank(Now) < Watchers ? FirstInRank : Watchers;
  std::shuffle(Live.begin(), Live.begin() + std::min(Live.size(), First),
               Random);
  if (Live.size() > 1)
    std::shuffle(Live.begin() + 1, Live.end(), Random);
  std::shuffle(Silent.begin(), Silent.end(), Random);
  const bool AskSilent = Rounds % RoundsASilent == 0 && !Silent.empty();
  std::vector<endpoint> Chosen(
      Live.begin(),
      Live.begin() + std::min(Live.size(), Fanout - (AskSilent ? 1 : 0)));
  for (const endpoint &Peer : Silent) {
    if (Chosen.size() >= Fanout)
      break;
    Chosen.push_back(Peer);
  }
  for (const endpoint &Peer : Chosen) {
    peer &State = Peers[Peer];
    if (State.Unanswered++ == 0)
      State.UnansweredSince = Now;
  }
  return Chosen;
}

} // namespace marjoramrail::internal
