//===- peer_table.h - The other balancers -----------------------*- C++ -*-===//
///
/// \file
/// Which balancers live, as in the SWIM protocol (Das, Gupta, Motivala, 2002):
/// each node asks one random peer per period, a silent one is suspected, the
/// suspicion spreads, and the suspect refutes it by a higher incarnation. The
/// work per node does not grow with the fleet. From Lifeguard (Dadgar et al.,
/// 2017) comes the doubt about oneself: when most of those asked are silent,
/// the node that asks is the one that is cut off.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_PEER_TABLE_H
#define MARJORAMRAIL_FLEET_PEER_TABLE_H

#include "fleet/message.h"

#include <deque>
#include <map>
#include <random>

namespace marjoramrail::internal {

class peer_table {
public:
  peer_table(balancer_info Self, std::uint64_t Seed);

  const balancer_info &self() const { return Self; }

  /// News from anyone. Returns true if they changed the table.
  bool take(const peer_update &Update, instant Now);

  /// The peer itself sent a message.
  bool messageReceived(const balancer_info &Peer, instant Now);

  /// The next peer to ask, each once per round in random order.
  std::optional<balancer_info> nextToProbe(instant Now);

  /// Some live peer, for news that should spread at once.
  std::optional<balancer_info> random();

  /// Suspects those that did not answer, buries those suspected for long.
  /// Returns true if the table changed.
  bool tick(instant Now);

  /// Alive or suspect, this node among them, in order of name.
  const std::vector<balancer_info> &living() const { return Living; }
  /// living() without those that did not answer, this node among them. Who may
  /// hold duties is ranked among these: a node that doubts itself buries
  /// nobody, and the dead would keep their places for ever.
  std::vector<balancer_info> answering() const;
  /// Grows with each change of answering().
  std::uint64_t answeringVersion() const {
    return Version + ResponsivenessChanges;
  }
  /// Grows with each change of living().
  std::uint64_t version() const { return Version; }
  std::uint64_t digest() const { return Digest; }

  /// News to pass on with the next message: the newest first, then some of the
  /// others when \p Fill is set because the other's digest differs.
  std::vector<peer_update> updatesToSend(std::size_t Most, bool Fill);
  bool hasUpdates() const { return !PendingUpdates.empty(); }

  /// False when most of the peers asked lately did not answer: then silence
  /// says more about this node's link than about others.
  bool isLinkTrusted() const;

  const balancer_info *find(const std::string &Name) const;

private:
  struct entry {
    peer_update Update;
    instant Since;
    /// Set while an answer is due.
    std::optional<instant> ProbedAt;
    int Missed = 0;
  };

  bool set(entry &Entry, const peer_update &Update, instant Now);
  static bool isUnresponsive(const entry &Entry);
  void setMissed(entry &Entry, int Missed);
  void spread(const std::string &Name);
  /// Puts \p Info into Living, or takes the name out if it is null.
  void setLiving(const std::string &Name, const balancer_info *Info);
  void recordAnswer(const std::string &Name, bool Arrived);
  bool recordMiss(entry &Entry, instant Now);

  balancer_info Self;
  std::mt19937_64 Random;
  std::map<std::string, entry> Peers;
  std::vector<balancer_info> Living;
  std::vector<std::string> Round;
  /// Names with news, and how often they are still to be sent.
  std::map<std::string, int> PendingUpdates;
  std::string FillCursor;
  std::uint64_t Version = 0;
  /// Changes of who is silent.
  std::uint64_t ResponsivenessChanges = 0;
  std::uint64_t Digest = 0;
  struct answer {
    std::string Name;
    bool Arrived = false;
  };
  /// The last answers, or their lack, of different peers; newest first.
  std::deque<answer> Answers;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_PEER_TABLE_H
