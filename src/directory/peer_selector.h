//===- peer_selector.h - Other balancers and whom to contact ----*- C++ -*-===//
///
/// \file
/// Tracks the other balancers and selects those that the next sync messages go
/// to. Contacting every balancer would exceed the control budget of a fleet of
/// thousands; with a few random peers per round, changes reach all of them
/// within several rounds. The watchers, which are the first balancers by
/// address and watch the store for the others, are contacted most. Every few
/// rounds one message goes to a peer that does not respond, since it may have
/// recovered.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_PEER_SELECTOR_H
#define MARJORAMRAIL_DIRECTORY_PEER_SELECTOR_H

#include "marjoramrail/base.h"

#include <functional>
#include <map>
#include <random>

namespace marjoramrail::internal {

class peer_selector {
public:
  /// Number of unanswered messages to a peer of lower rank before it is only
  /// contacted as one of the unresponsive peers.
  static constexpr int MaxTriesOfLowerRank = 2;
  /// Peers contacted in one round.
  static constexpr std::size_t Fanout = 2;
  /// In every fifth round one message goes to an unresponsive peer.
  static constexpr std::uint64_t RoundsPerUnresponsivePeer = 5;
  /// A peer counts as dead if it has not answered at least this number of
  /// messages and DeadAfter has passed as well.
  static constexpr int DeadAfterMessages = 5;
  /// Minimum time without a response before a peer counts as dead: restarts and
  /// temporary network faults are shorter.
  static constexpr duration DeadAfter = std::chrono::minutes(1);
  /// A peer counts as live for this time after its last message. The time spans
  /// several rounds, so that lost datagrams have no effect.
  static constexpr duration LiveFor = std::chrono::seconds(3);

  peer_selector(const endpoint &Self, std::uint32_t Zone, std::uint64_t Seed)
      : Self(Self), Zone(Zone), Random(Seed) {}

  /// Adds an address from the settings or from the store that may be a
  /// balancer. \p Zone is its zone, or 0 if that is unknown.
  void add(const endpoint &Peer, std::uint32_t Zone = 0);
  /// Records a message from \p Peer. \p IsServed: the store answers this peer's
  /// calls.
  void recordMessage(const endpoint &Peer, std::uint32_t Zone, instant Now,
                     bool IsServed = true);
  std::size_t live(instant Now) const;
  /// The minimum number of balancers that watch the store for all others.
  static constexpr std::size_t MinWatchers = 3;
  /// One watcher for this many balancers: each watcher is then contacted by
  /// about a hundred others, a few hundred datagrams a second, regardless of
  /// the fleet's size.
  static constexpr std::size_t BalancersPerWatcher = 100;
  /// The number of balancers per zone that watch the configuration and that the
  /// other balancers of the zone contact for updates.
  static constexpr std::size_t WatchersPerZone = 2;
  /// The current number of watchers, from the number of live balancers.
  std::size_t watchers(instant Now) const;

  /// The number of live peers with a lower address whose store calls are
  /// answered. The rank decides without coordination which balancer does a
  /// task. A peer that the store refuses cannot do any of the tasks and is not
  /// counted.
  std::size_t rank(instant Now) const;
  /// The same among the peers of \p Zone.
  std::size_t rankIn(std::uint32_t Zone, instant Now) const;
  bool isOfZone(const endpoint &Peer, std::uint32_t Zone) const;
  /// Whether \p Peer counts as dead, as far as this balancer can tell.
  bool isDead(const endpoint &Peer, instant Now) const;
  void forget(const endpoint &Peer) { Peers.erase(Peer); }
  /// Selects the peers for the next round of sync messages. \p NeedsUpdates:
  /// this balancer's data is old, so that it contacts a watcher and a watcher
  /// of its zone.
  std::vector<endpoint> choosePeers(instant Now, bool NeedsUpdates = false);

private:
  struct peer {
    std::optional<instant> LastMessageAt;
    std::uint32_t Zone = 0;
    bool IsServed = true;
    /// Messages sent since the peer's last message, and when the first of them
    /// was sent.
    int Unanswered = 0;
    instant UnansweredSince;

    bool isLive(instant Now) const {
      return LastMessageAt && Now - *LastMessageAt <= LiveFor;
    }
  };

  /// Candidates for one round; a peer may be in several lists.
  struct candidates {
    std::vector<endpoint> Live;
    std::vector<endpoint> Unresponsive;
    std::vector<endpoint> Watchers;
    std::vector<endpoint> ZoneWatchers;
  };

  candidates candidatesAt(instant Now) const;
  /// A peer of lower address from which no recent message has arrived, if this
  /// balancer currently ranks among the watchers (of its zone or of all). After
  /// a start a balancer knows few peers and would take over tasks of others;
  /// contacting these peers first corrects its rank quickly.
  std::optional<endpoint> unknownLowerPeer(bool OfZone, instant Now) const;
  std::size_t liveIn(std::uint32_t Zone, instant Now) const;
  bool anyServed(instant Now) const;
  /// The number of live peers with a lower address for which \p Counts is true.
  /// Peers that the store refuses are not counted, unless it refuses all.
  std::size_t countAhead(instant Now,
                         const std::function<bool(const peer &)> &Counts) const;
  /// Adds a random element of \p Peers to \p Chosen if there is room for it.
  void addOneOf(const std::vector<endpoint> &Peers,
                std::vector<endpoint> &Chosen);

  endpoint Self;
  std::uint32_t Zone;
  std::map<endpoint, peer> Peers;
  std::mt19937_64 Random;
  std::uint64_t Rounds = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_PEER_SELECTOR_H
