#include "agent/peer_watch.h"

#include <algorithm>

namespace marjoramrail::internal {

void peer_watch::setPeers(const std::vector<endpoint> &Live) {
  std::erase_if(Peers, [&](const auto &Item) {
    return std::find(Live.begin(), Live.end(), Item.first) == Live.end();
  });
  for (const endpoint &Address : Live)
    Peers.try_emplace(Address);
}

void peer_watch::passedOn(const endpoint &Peer, instant Now) {
  const auto Found = Peers.find(Peer);
  if (Found != Peers.end() && !Found->second.Unanswered)
    Found->second.Unanswered = Now;
}

void peer_watch::heard(const endpoint &Peer, instant Now) {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return;
  Found->second = {};
  Found->second.LastHeard = Now;
  LinkSuspect = false;
}

bool peer_watch::someoneElseAnswered(const endpoint &Silent,
                                     instant Since) const {
  return std::any_of(Peers.begin(), Peers.end(), [&](const auto &Item) {
    return Item.first != Silent && Item.second.LastHeard &&
           *Item.second.LastHeard >= Since;
  });
}

std::optional<endpoint> peer_watch::helperFor(const endpoint &Subject,
                                              int Round) const {
  std::vector<endpoint> Candidates;
  for (const auto &[Address, Peer] : Peers)
    if (Address != Subject && !Peer.Suspect)
      Candidates.push_back(Address);
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[static_cast<std::size_t>(Round) % Candidates.size()];
}

void peer_watch::conclude(const endpoint &Address, peer &Peer, instant Now) {
  if (someoneElseAnswered(Address, *Peer.ProbedSince))
    Peer.Suspect = true;
  else
    LinkSuspect = true;
  // It is asked again after a pause, so that a suspicion ends.
  Peer.ProbedSince.reset();
  Peer.Sent = 0;
  Peer.Unanswered = Now + std::chrono::seconds(1);
}

std::vector<peer_probe> peer_watch::tick(instant Now) {
  std::vector<peer_probe> Due;
  for (auto &[Address, Peer] : Peers) {
    if (!Peer.Unanswered || Now - *Peer.Unanswered < AnswerBound)
      continue;
    if (!Peer.ProbedSince) {
      Peer.ProbedSince = Now;
      Peer.Sent = 0;
    } else if (Now - Peer.LastProbe < ProbePeriod) {
      continue;
    }
    if (Peer.Sent == Probes) {
      conclude(Address, Peer, Now);
      continue;
    }
    Due.push_back({Address, std::nullopt});
    if (const auto Helper = helperFor(Address, Peer.Sent))
      Due.push_back({Address, Helper});
    ++Peer.Sent;
    Peer.LastProbe = Now;
  }
  return Due;
}

void peer_watch::toldSilent(const endpoint &Peer, instant Now) {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return;
  peer &Silent = Found->second;
  if (Silent.LastHeard && Now - *Silent.LastHeard < AnswerBound)
    return;
  Silent.Suspect = true;
  // This one asks for itself too, so that a suspicion ends.
  if (!Silent.Unanswered)
    Silent.Unanswered = Now;
}

bool peer_watch::isDoubted(const endpoint &Peer) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() &&
         (Found->second.Suspect || Found->second.ProbedSince);
}

bool peer_watch::isSuspect(const endpoint &Peer) const {
  const auto Found = Peers.find(Peer);
  return Found != Peers.end() && Found->second.Suspect;
}

} // namespace marjoramrail::internal
