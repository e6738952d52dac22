//===- peer_table.h - Failure detector for balancers ------------*- C++ -*-===//
///
/// \file
/// Tracks which balancers are alive, as in the SWIM protocol (Das, Gupta,
/// Motivala, 2002): each node probes one random peer per period; a peer that
/// does not answer becomes suspect, the suspicion spreads, and the suspect
/// refutes it with a higher incarnation. The work per node does not grow with
/// the fleet. As in Lifeguard (Dadgar et al., 2017), a node also checks its own
/// link: when most of the probed peers do not answer, the probing node is
/// probably the one that is cut off.
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

  /// Takes an update from any node. Returns true if it changed living().
  bool take(const peer_update &Update, instant Now);

  /// Records a message sent by the peer itself.
  bool messageReceived(const balancer_info &Peer, instant Now);

  /// Returns the next peer to probe; each once per round in random order.
  std::optional<balancer_info> nextToProbe(instant Now);

  /// Returns some live peer, for updates that should spread at once.
  std::optional<balancer_info> random();

  /// Marks peers that did not answer as suspect, and peers suspected for too
  /// long as dead. Returns true if living() changed.
  bool tick(instant Now);

  /// Alive or suspect peers, including this node, ordered by name.
  const std::vector<balancer_info> &living() const { return Living; }
  /// living() without the peers that did not answer; includes this node.
  /// Candidates for shard leases are ranked among these: a node that does not
  /// trust its own link marks no peer dead, so dead peers would keep their rank
  /// for ever in living().
  std::vector<balancer_info> answering() const;
  /// Incremented with each change of answering().
  std::uint64_t answeringVersion() const {
    return Version + ResponsivenessChanges;
  }
  /// Incremented with each change of living().
  std::uint64_t version() const { return Version; }
  std::uint64_t digest() const { return Digest; }

  /// Returns updates to send with the next message: pending ones first, then
  /// some of the other entries if \p Fill is set because the receiver's digest
  /// differs.
  std::vector<peer_update> updatesToSend(std::size_t Most, bool Fill);
  bool hasUpdates() const { return !PendingUpdates.empty(); }

  /// False when most of the recently probed peers did not answer, in which case
  /// this node's own link has probably failed.
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

  bool applyUpdate(entry &Entry, const peer_update &Update, instant Now);
  static bool isUnresponsive(const entry &Entry);
  void setMissed(entry &Entry, int Missed);
  void spread(const std::string &Name);
  /// Puts \p Info into Living, or removes the name if it is null.
  void setLiving(const std::string &Name, const balancer_info *Info);
  void recordAnswer(const std::string &Name, bool Arrived);
  bool recordMiss(entry &Entry, instant Now);

  balancer_info Self;
  std::mt19937_64 Random;
  std::map<std::string, entry> Peers;
  std::vector<balancer_info> Living;
  std::vector<std::string> Round;
  /// Names with pending updates and the number of sends left.
  std::map<std::string, int> PendingUpdates;
  std::string FillCursor;
  std::uint64_t Version = 0;
  /// Counts changes of the set of unresponsive peers.
  std::uint64_t ResponsivenessChanges = 0;
  std::uint64_t Digest = 0;
  struct answer {
    std::string Name;
    bool Arrived = false;
  };
  /// The last results, answered or missed, of different peers; newest first.
  std::deque<answer> Answers;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_PEER_TABLE_H
