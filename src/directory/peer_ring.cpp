#include "directory/peer_ring.h"

namespace marjoramrail::internal {

void peer_ring::know(const endpoint &Peer) {
  if (Peer != Self)
    Peers.try_emplace(Peer);
}

void peer_ring::heard(const endpoint &Peer, std::uint32_t Zone, instant Now) {
  if (Peer != Self)
    Peers[Peer] = {Now, Zone};
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

std::vector<endpoint> peer_ring::round(instant Now) {
  std::vector<endpoint> Live;
  std::vector<endpoint> Silent;
  for (const auto &[Peer, State] : Peers)
    (State.isLive(Now) ? Live : Silent).push_back(Peer);
  // One of the first in rank, one of all, and one that is silent.
  std::shuffle(Live.begin(), Live.begin() + std::min(Live.size(), FirstInRank),
               Random);
  if (Live.size() > 1)
    std::shuffle(Live.begin() + 1, Live.end(), Random);
  std::shuffle(Silent.begin(), Silent.end(), Random);
  const std::size_t Others = Silent.empty() ? 0 : 1;
  std::vector<endpoint> Chosen(
      Live.begin(), Live.begin() + std::min(Live.size(), Fanout - Others));
  for (const endpoint &Peer : Silent) {
    if (Chosen.size() >= Fanout)
      break;
    Chosen.push_back(Peer);
  }
  return Chosen;
}

} // namespace marjoramrail::internal
