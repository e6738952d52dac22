#include "fleet/peer_table.h"

#include "fleet/rendezvous.h"

#include <algorithm>
#include <bit>

namespace marjoramrail::internal {

namespace {

/// An answer takes one round trip; a second covers the slowest link and a pause
/// of the probed VM.
constexpr duration AnswerTimeout = std::chrono::seconds(1);
/// Unanswered probes before a peer is suspected.
constexpr int MissesBeforeSuspect = 2;
/// Time for a suspect to receive the suspicion and to refute it: some rounds of
/// gossip.
constexpr duration SuspectTimeout = std::chrono::seconds(4);
/// Dead peers are remembered for as long as outdated updates about them may
/// still spread.
constexpr duration DeadRetention = std::chrono::seconds(60);
/// Number of probe results that isLinkTrusted() considers.
constexpr std::size_t AnswersKept = 8;

int timesToSpread(std::size_t Peers) {
  return 3 + 2 * static_cast<int>(std::bit_width(Peers));
}

} // namespace

peer_table::peer_table(balancer_info Mine, std::uint64_t Seed)
    : Self(std::move(Mine)), Random(Seed ^ hashOfName(Self.Name)) {
  setLiving(Self.Name, &Self);
}

bool peer_table::isUnresponsive(const entry &Entry) {
  return Entry.Missed >= MissesBeforeSuspect;
}

void peer_table::setMissed(entry &Entry, int Missed) {
  const bool Before = isUnresponsive(Entry);
  Entry.Missed = Missed;
  ResponsivenessChanges += isUnresponsive(Entry) != Before ? 1 : 0;
}

std::vector<balancer_info> peer_table::answering() const {
  std::vector<balancer_info> Answering;
  for (const balancer_info &Peer : Living) {
    const auto Found = Peers.find(Peer.Name);
    if (Found == Peers.end() || !isUnresponsive(Found->second))
      Answering.push_back(Peer);
  }
  return Answering;
}

void peer_table::spread(const std::string &Name) {
  PendingUpdates[Name] = timesToSpread(Peers.size());
}

/// Changes one entry only: with 12,000 peers, sorting all of them for each one
/// that joins took 1.7 ms, and a new node needed 20 s to learn them all.
void peer_table::setLiving(const std::string &Name, const balancer_info *Info) {
  auto At = std::lower_bound(
      Living.begin(), Living.end(), Name,
      [](const balancer_info &Peer, const std::string &Sought) {
        return Peer.Name < Sought;
      });
  if (At != Living.end() && At->Name == Name) {
    Digest ^= hashOfName(Name, At->Incarnation);
    At = Living.erase(At);
  }
  if (Info != nullptr) {
    Digest ^= hashOfName(Name, Info->Incarnation);
    Living.insert(At, *Info);
  }
  ++Version;
}

bool peer_table::applyUpdate(entry &Entry, const peer_update &Update,
                             instant Now) {
  const bool Same =
      Entry.Update.State == Update.State && Entry.Update.Info == Update.Info;
  if (Same)
    return false;
  const bool WasAlive = Entry.Update.State != peer_state::Dead;
  const bool IsAlive = Update.State != peer_state::Dead;
  const bool Changed = Entry.Update.Info != Update.Info || WasAlive != IsAlive;
  Entry.Update = Update;
  Entry.Since = Now;
  if (Update.State == peer_state::Alive)
    setMissed(Entry, 0);
  // A dead peer's missing answers do not count against this node's own link.
  if (Update.State == peer_state::Dead)
    std::erase_if(Answers, [&](const answer &Answer) {
      return Answer.Name == Update.Info.Name;
    });
  spread(Update.Info.Name);
  if (Changed)
    setLiving(Update.Info.Name, IsAlive ? &Entry.Update.Info : nullptr);
  return Changed;
}

bool peer_table::take(const peer_update &Update, instant Now) {
  const std::string &Name = Update.Info.Name;
  if (Name == Self.Name) {
    const bool Refutes = Update.State != peer_state::Alive ||
                         Update.Info.Control != Self.Control;
    if (Update.Info.Incarnation >= Self.Incarnation && Refutes) {
      Self.Incarnation = Update.Info.Incarnation + 1;
      spread(Name);
      setLiving(Name, &Self);
    }
    return false;
  }
  const auto Found = Peers.find(Name);
  if (Found == Peers.end()) {
    if (Update.State == peer_state::Dead)
      return false;
    Peers[Name] = {Update, Now, std::nullopt, 0};
    spread(Name);
    setLiving(Name, &Update.Info);
    return true;
  }
  entry &Entry = Found->second;
  const std::uint32_t Known = Entry.Update.Info.Incarnation;
  const std::uint32_t Reported = Update.Info.Incarnation;
  // Within one incarnation the more severe state wins: only the peer itself can
  // refute it, with a higher incarnation.
  const bool Worse = Reported == Known && Update.State > Entry.Update.State;
  if (Reported > Known || Worse)
    return applyUpdate(Entry, Update, Now);
  return false;
}

bool peer_table::messageReceived(const balancer_info &Peer, instant Now) {
  const auto Found = Peers.find(Peer.Name);
  if (Found != Peers.end()) {
    entry &Entry = Found->second;
    if (Entry.ProbedAt)
      recordAnswer(Peer.Name, true);
    Entry.ProbedAt.reset();
    setMissed(Entry, 0);
    // The peer's own message voids a local suspicion of this incarnation; the
    // peer still has to refute it for other nodes.
    if (Entry.Update.State == peer_state::Suspect &&
        Entry.Update.Info.Incarnation == Peer.Incarnation)
      return applyUpdate(Entry, {Peer, peer_state::Alive}, Now);
  }
  return take({Peer, peer_state::Alive}, Now);
}

/// Each peer counts once. An unresponsive peer is probed more often, and if
/// each missing answer counted, a node of a small fleet would distrust its own
/// link for ever.
void peer_table::recordAnswer(const std::string &Name, bool Arrived) {
  std::erase_if(Answers,
                [&](const answer &Answer) { return Answer.Name == Name; });
  Answers.push_front({Name, Arrived});
  if (Answers.size() > AnswersKept)
    Answers.pop_back();
}

bool peer_table::isLinkTrusted() const {
  const auto Arrived =
      std::count_if(Answers.begin(), Answers.end(),
                    [](const answer &Answer) { return Answer.Arrived; });
  return static_cast<std::size_t>(Arrived) * 2 >= Answers.size();
}

std::optional<balancer_info> peer_table::nextToProbe(instant Now) {
  while (true) {
    if (Round.empty()) {
      for (const auto &[Name, Entry] : Peers)
        if (Entry.Update.State != peer_state::Dead)
          Round.push_back(Name);
      std::shuffle(Round.begin(), Round.end(), Random);
    }
    if (Round.empty())
      return std::nullopt;
    const std::string Name = Round.back();
    Round.pop_back();
    const auto Found = Peers.find(Name);
    if (Found == Peers.end() || Found->second.Update.State == peer_state::Dead)
      continue;
    if (!Found->second.ProbedAt)
      Found->second.ProbedAt = Now;
    return Found->second.Update.Info;
  }
}

std::optional<balancer_info> peer_table::random() {
  if (Living.size() < 2)
    return std::nullopt;
  const balancer_info &Picked = Living[Random() % Living.size()];
  return Picked.Name == Self.Name ? random() : std::optional(Picked);
}

bool peer_table::recordMiss(entry &Entry, instant Now) {
  Entry.ProbedAt.reset();
  recordAnswer(Entry.Update.Info.Name, false);
  // Probed again next, not after a whole round through the fleet.
  Round.push_back(Entry.Update.Info.Name);
  setMissed(Entry, Entry.Missed + 1);
  if (Entry.Update.State != peer_state::Alive || !isUnresponsive(Entry) ||
      !isLinkTrusted())
    return false;
  return applyUpdate(Entry, {Entry.Update.Info, peer_state::Suspect}, Now);
}

bool peer_table::tick(instant Now) {
  const std::uint64_t Before = Version;
  std::vector<std::string> Forgotten;
  for (auto &[Name, Entry] : Peers) {
    if (Entry.ProbedAt && Now - *Entry.ProbedAt >= AnswerTimeout)
      recordMiss(Entry, Now);
    if (Entry.Update.State == peer_state::Suspect &&
        Now - Entry.Since >= SuspectTimeout && isLinkTrusted())
      applyUpdate(Entry, {Entry.Update.Info, peer_state::Dead}, Now);
    if (Entry.Update.State == peer_state::Dead &&
        Now - Entry.Since >= DeadRetention)
      Forgotten.push_back(Name);
  }
  for (const std::string &Name : Forgotten) {
    Peers.erase(Name);
    PendingUpdates.erase(Name);
  }
  return Version != Before;
}

std::vector<peer_update> peer_table::updatesToSend(std::size_t Most,
                                                   bool Fill) {
  std::vector<peer_update> Update;
  for (auto At = PendingUpdates.begin();
       At != PendingUpdates.end() && Update.size() < Most;) {
    const auto Found = Peers.find(At->first);
    if (Found != Peers.end())
      Update.push_back(Found->second.Update);
    At = --At->second <= 0 ? PendingUpdates.erase(At) : std::next(At);
  }
  if (!Fill)
    return Update;
  auto At = Peers.upper_bound(FillCursor);
  for (std::size_t I = 0; I < Peers.size() && Update.size() < Most; ++I) {
    if (At == Peers.end())
      At = Peers.begin();
    Update.push_back(At->second.Update);
    FillCursor = At->first;
    ++At;
  }
  return Update;
}

const balancer_info *peer_table::find(const std::string &Name) const {
  if (Name == Self.Name)
    return &Self;
  const auto Found = Peers.find(Name);
  if (Found == Peers.end() || Found->second.Update.State == peer_state::Dead)
    return nullptr;
  return &Found->second.Update.Info;
}

} // namespace marjoramrail::internal
