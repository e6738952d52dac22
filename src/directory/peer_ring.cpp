#include "directory/peer_ring.h"

namespace marjoramrail::internal {

void peer_ring::know(const endpoint &Peer) {
  if (Peer != Self)
    Peers.try_emplace(Peer);
}

void peer_ring::heard(const endpoint &Peer, instant Now) {
  if (Peer != Self)
    Peers[Peer] = Now;
}

bool peer_ring::isLive(const std::optional<instant> &Heard, instant Now) const {
  return Heard && Now - *Heard <= LiveFor;
}

std::size_t peer_ring::live(instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Peer) {
        return isLive(Peer.second, Now);
      }));
}

std::size_t peer_ring::rank(instant Now) const {
  return static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const auto &Peer) {
        return Peer.first < Self && isLive(Peer.second, Now);
      }));
}

std::vector<endpoint> peer_ring::round(instant Now) {
  std::vector<endpoint> Live;
  std::vector<endpoint> Silent;
  for (const auto &[Peer, Heard] : Peers)
    (isLive(Heard, Now) ? Live : Silent).push_back(Peer);
  std::shuffle(Live.begin(), Live.end(), Random);
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
