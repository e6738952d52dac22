#include "agent/peer_monitor.h"

#include <algorithm>

namespace marjoramrail::internal {

void peer_monitor::setPeers(const std::vector<endpoint> &Live) {
  std::erase_if(Peers, [&](const auto &Item) {
    return std::find(Live.begin(), Live.end(), Item.first) == Live.end();
  });
  for (const endpoint &Address : Live)
    Peers.try_emplace(Address);
}

void peer_monitor::noteSent(const endpoint &Peer, instant Now) {
  const auto Found = Peers.find(Peer);
  if (Found != Peers.end() && !Found->second.UnansweredSince)
    Found->second.UnansweredSince = Now;
}

void peer_monitor::noteResponse(const endpoint &Peer, instant Now) {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return;
  Found->second = {};
  Found->second.LastResponse = Now;
  LinkSuspect = false;
}

bool peer_monitor::hasOtherPeerAnswered(const endpoint &Excluded,
                                        instant Since) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &Item) {
    return Item.first != Excluded && Item.second.LastResponse &&
           *Item.second.LastResponse >= Since;
  });
}

std::optional<endpoint> peer_monitor::selectHelper(const endpoint &Subject,
                                                   int Round) const {
  std::vector<endpoint> Candidates;
  for (const auto &[Address, Peer] : Peers)
    if (Address != Subject && !Peer.Suspect)
      Candidates.push_back(Address);
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[static_cast<std::size_t>(Round) % Candidates.size()];
}

void peer_monitor::finishProbing(const endpoint &Address, peer &Peer,
                                 instant Now) {
  if (hasOtherPeerAnswered(Address, *Peer.ProbedSince))
    Peer.Suspect = true;
  else
    LinkSuspect = true;
  // The peer is probed again after a pause, so that a suspicion can end.
  Peer.ProbedSince.reset();
  Peer.Sent = 0;
  Peer.UnansweredSince = Now + std::chrono::seconds(1);
}

std::vector<peer_probe> peer_monitor::tick(instant Now) {
  std::vector<peer_probe> Due;
  for (auto &[Address, Peer] : Peers) {
    if (!Peer.UnansweredSince || Now - *Peer.UnansweredSince < ResponseTimeout)
      continue;
    if (!Peer.ProbedSince) {
      Peer.ProbedSince = Now;
      Peer.Sent = 0;
    } else if (Now - Peer.LastProbe < ProbeInterval) {
      continue;
    }
    if (Peer.Sent == ProbeCount) {
      finishProbing(Address, Peer, Now);
      continue;
    }
    Due.push_back({Address, std::nullopt});
    if (const auto Helper = selectHelper(Address, Peer.Sent))
      Due.push_back({Address, Helper});
    ++Peer.Sent;
    Peer.LastProbe = Now;
  }
  return Due;
}

void peer_monitor::noteReportedUnresponsive(const endpoint &Peer, instant Now) {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return;
  peer &Suspected = Found->second;
  if (Suspected.LastResponse && Now - *Suspected.LastResponse < ResponseTimeout)
    return;
  Suspected.Suspect = true;
  // This agent probes the peer itself too, so that a suspicion can end.
  if (!Suspected.UnansweredSince)
    Suspected.UnansweredSince = Now;
}

bool peer_monitor::isPossiblyDown(const endpoint &Peer) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() &&
         (Found->second.Suspect || Found->second.ProbedSince);
}

bool peer_monitor::isSuspect(const endpoint &Peer) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.Suspect;
}

} // namespace marjoramrail::internal
