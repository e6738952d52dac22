//===- peer_selector.h - The other balancers, as far as heard -------*- C++
//-*-===//
///
/// \file
/// Whom a balancer greets next. Greeting everyone would cost a fleet of
/// thousands its control budget; a few at random reach all of them within some
/// rounds. The first in rank, who watch the store for the others, are greeted
/// most; one turn in each round goes to a peer that does not answer: it may
/// have come back.
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
  /// How often one that goes before this balancer is asked in vain, until it
  /// is left to the turns of silent ones.
  static constexpr int MaxTriesAhead = 2;
  /// Peers greeted in one round.
  static constexpr std::size_t Fanout = 2;
  /// Every so many rounds the last turn goes to a silent peer.
  static constexpr std::uint64_t RoundsPerSilentPeer = 5;
  /// A peer counts as gone after so many greetings without a word,
  static constexpr int DeadAfterMessages = 5;
  /// and so long a silence: a restart or a cut that heals is shorter.
  static constexpr duration DeadAfter = std::chrono::minutes(1);
  /// A peer that was not heard for longer does not count as live: some rounds
  /// of greetings, so that lost datagrams do not matter.
  static constexpr duration LiveFor = std::chrono::seconds(3);

  peer_selector(const endpoint &Self, std::uint32_t Zone, std::uint64_t Seed)
      : Self(Self), Zone(Zone), Random(Seed) {}

  /// \p Peer may be a balancer, of \p Zone if that is not 0: from the settings
  /// or from the store.
  void add(const endpoint &Peer, std::uint32_t Zone = 0);
  /// \p IsServed: the store answers it.
  void recordMessage(const endpoint &Peer, std::uint32_t Zone, instant Now,
                     bool IsServed = true);
  std::size_t live(instant Now) const;
  /// How many watch for all and are greeted by rank, at least,
  static constexpr std::size_t MinWatchers = 3;
  /// and one for so many balancers: each is greeted by some hundred others, a
  /// few hundred datagrams a second, whatever the fleet's size.
  static constexpr std::size_t BalancersPerWatcher = 100;
  /// How many of a zone watch the configuration, and are asked for news by the
  /// others of the zone.
  static constexpr std::size_t WatchersPerZone = 2;
  /// The number of those watchers among the live balancers.
  std::size_t watchers(instant Now) const;

  /// The number of live peers that the store answers and whose address is below
  /// this balancer's: an order in which duties are taken without asking anyone.
  /// One that the store refuses can do none of them.
  std::size_t rank(instant Now) const;
  /// The same among the peers of \p Zone.
  std::size_t rankIn(std::uint32_t Zone, instant Now) const;
  bool isOfZone(const endpoint &Peer, std::uint32_t Zone) const;
  /// Whether \p Peer has left for good, as far as this balancer can tell.
  bool isDead(const endpoint &Peer, instant Now) const;
  void forget(const endpoint &Peer) { Peers.erase(Peer); }
  /// Whom to greet in this round. \p NeedsUpdates: what this balancer knows has
  /// grown old, and only those ahead are worth asking.
  std::vector<endpoint> choosePeers(instant Now, bool NeedsUpdates = false);

private:
  struct peer {
    std::optional<instant> HeardAt;
    std::uint32_t Zone = 0;
    bool IsServed = true;
    /// Greetings since it was heard, and the first of them.
    int Unanswered = 0;
    instant UnansweredSince;

    bool isLive(instant Now) const {
      return HeardAt && Now - *HeardAt <= LiveFor;
    }
  };

  /// Whom a round may greet; one peer may stand in several.
  struct candidates {
    std::vector<endpoint> Live;
    std::vector<endpoint> Unresponsive;
    std::vector<endpoint> Watchers;
    std::vector<endpoint> ZoneWatchers;
  };

  candidates candidatesAt(instant Now) const;
  /// A balancer that takes itself for one of the first, of its zone or of all,
  /// asks those before it whom it has not heard: after a start it would take
  /// duties that are others' until it has met them by chance.
  std::optional<endpoint> unheardPeerAhead(bool OfZone, instant Now) const;
  std::size_t liveIn(std::uint32_t Zone, instant Now) const;
  bool anyServed(instant Now) const;
  /// Live peers that go before this balancer and for which \p Counts. Those
  /// that the store refuses do not count, unless it refuses all.
  std::size_t countAhead(instant Now,
                         const std::function<bool(const peer &)> &Counts) const;
  /// Adds one of \p Peers to those chosen for a round, if there is room.
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
