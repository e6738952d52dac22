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
/// Links between zones are charged for, and random peers of a site with five
/// zones are in another zone four times out of five. In a large zone, only its
/// contacts (the first two balancers by address) exchange messages with other
/// zones; the others ask the contacts and random peers of their own zone. What
/// crosses a zone border then grows with the number of zones, not with the
/// number of balancers. A contact that does not answer two messages is replaced
/// by the next balancer of the zone.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_DIRECTORY_PEER_SELECTOR_H
#define MARJORAMRAIL_DIRECTORY_PEER_SELECTOR_H

#include "marjoramrail/base.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace marjoramrail::internal {

/// The age of a balancer's data when it selects peers.
enum class data_age {
  Current,
  /// The balancer contacts a watcher and a watcher of its zone.
  Old,
  /// The watchers of its zone have not provided newer data in time, so that it
  /// also contacts other zones.
  Overdue,
};

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

  /// Called when this balancer starts.
  void start(instant Now) { DiscoversSince = Now; }

  /// Adds an address from the settings or from the store that may be a
  /// balancer. \p Zone is its zone, or 0 if that is unknown.
  void add(const endpoint &Peer, std::uint32_t Zone = 0);
  /// Records a message from \p Peer. \p IsServed: the store answers this peer's
  /// calls.
  void recordMessage(const endpoint &Peer, std::uint32_t Zone, instant Now,
                     bool IsServed = true);
  /// The number of known peers, whether they respond or not.
  std::size_t size() const { return Peers.size(); }
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
  /// From this number of balancers in the own zone on, only contacts exchange
  /// messages with other zones. Random peers suffice to connect smaller zones,
  /// and their traffic is small.
  static constexpr std::size_t LargeZone = 24;
  /// Contacts that the store refuses are replaced by others of the first
  /// balancers of the zone, this many for each contact. In an outage the store
  /// refuses all; if the next balancer always took over, each would call it.
  static constexpr std::size_t ContactCandidates = 3;
  /// A peer that has not answered for this time, and not at least
  /// MaxTriesOfLowerRank messages, is not used as a contact or watcher.
  static constexpr duration ResponseTime = std::chrono::milliseconds(200);
  /// For this time after its start, and after it knows that its zone is large,
  /// a balancer assumes that the known peers of its zone are running. It has
  /// not heard of most of them yet, and would take over the tasks of the first
  /// ones.
  static constexpr duration DiscoveryTime = std::chrono::seconds(1);
  /// The current number of watchers, from the number of live balancers.
  std::size_t watchers(instant Now) const;

  /// The number of live peers with a lower address whose store calls are
  /// answered. The rank decides without coordination which balancer does a
  /// task. A peer that the store refuses cannot do any of the tasks and is not
  /// counted. In a large zone only contacts have a rank, among the contacts of
  /// all zones; the others come after them.
  std::size_t rank(instant Now) const;
  /// The first of the peers that rank() counts. In a large zone the contacts
  /// are not told apart, and nothing is returned.
  std::optional<endpoint> firstAhead(instant Now) const;
  /// Whether the store answers \p Peer, as far as this balancer has heard.
  bool isServed(const endpoint &Peer) const;
  /// The number of live peers among \p Addresses that are ahead.
  std::size_t rankAmong(const std::vector<endpoint> &Addresses,
                        instant Now) const;
  /// The same among the peers of \p Zone.
  std::size_t rankIn(std::uint32_t Zone, instant Now) const;
  bool isOfZone(const endpoint &Peer, std::uint32_t Zone) const;
  /// Whether \p Peer counts as dead, as far as this balancer can tell.
  bool isDead(const endpoint &Peer, instant Now) const;
  void forget(const endpoint &Peer) { Peers.erase(Peer); }
  /// Whether only contacts exchange messages with other zones.
  bool isZoneLarge() const;
  /// Whether this balancer is a contact of its zone.
  bool isContact(instant Now) const;
  /// Whether this balancer is no contact of its large zone, and one answers it.
  bool reliesOnContacts(instant Now) const;
  /// Selects the peers for the next round of sync messages.
  std::vector<endpoint> choosePeers(instant Now,
                                    data_age Age = data_age::Current);

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
    /// Nothing indicates that the peer has failed, though it may not have been
    /// contacted for long.
    bool isUsable(instant Now) const {
      return Unanswered < MaxTriesOfLowerRank ||
             Now - UnansweredSince < ResponseTime;
    }
    bool isResponding(instant Now) const {
      return isLive(Now) && isUsable(Now);
    }
  };

  /// Candidates for one round; a peer may be in several lists.
  struct candidates {
    std::vector<endpoint> Live;
    std::vector<endpoint> Unresponsive;
    std::vector<endpoint> Watchers;
    std::vector<endpoint> ZoneWatchers;
    /// In a large zone: the contacts of other zones.
    std::vector<endpoint> OtherContacts;
  };

  candidates candidatesAt(instant Now) const;
  /// The first peers of a zone, by address.
  struct peer_range {
    std::vector<endpoint> Peers;
    bool AnyServed = false;
  };

  /// The candidates for contacts among the peers of \p Of: the first ones for
  /// which \p Counts is true or, if \p AssumesRunning is set, that have not
  /// been heard of yet.
  peer_range firstOf(std::uint32_t Of, instant Now,
                     bool (peer::*Counts)(instant Now) const,
                     bool AssumesRunning) const;
  /// The peers of \p Of that are contacts: the first ones by address for which
  /// \p Counts is true and that the store serves.
  std::vector<endpoint> contactsOf(std::uint32_t Of, instant Now,
                                   bool (peer::*Counts)(instant Now)
                                       const) const;
  std::set<std::uint32_t> otherZones() const;
  /// The number of contacts that a zone with \p Live balancers needs.
  static std::size_t contactsOfZone(std::size_t Live) {
    return std::max(WatchersPerZone, Live / BalancersPerWatcher);
  }
  /// The number of balancers of the own zone ahead of this one that respond, or
  /// are assumed to run.
  std::size_t placeInZone(instant Now) const;
  std::size_t rankAmongContacts(instant Now) const;
  candidates candidatesOfLargeZone(instant Now) const;
  std::vector<endpoint> choosePeersOfSmallZone(instant Now, data_age Age);
  std::vector<endpoint> choosePeersOfLargeZone(instant Now, data_age Age);
  /// Adds the peers that a contact asks for updates of other zones.
  void addAsContact(const candidates &Found, data_age Age,
                    std::vector<endpoint> &Chosen);
  /// A peer of lower address from which no recent message has arrived, if this
  /// balancer currently ranks among the watchers (of its zone or of all). After
  /// a start a balancer knows few peers and would take over tasks of others;
  /// contacting these peers first corrects its rank quickly.
  std::optional<endpoint> unknownLowerPeer(bool OfZone, instant Now) const;
  std::size_t liveIn(std::uint32_t Zone, instant Now) const;
  bool anyServed(instant Now) const;
  /// Whether \p Peer, whose state is \p State, is live and has a lower address.
  /// Peers that the store refuses do not count, unless it refuses all.
  bool isAhead(const endpoint &Peer, const peer &State, instant Now,
               bool AnyServed) const;
  /// The number of peers ahead for which \p Counts is true.
  std::size_t countAhead(instant Now,
                         const std::function<bool(const peer &)> &Counts) const;
  /// Adds a random element of \p Peers to \p Chosen if there is room for it.
  void addOneOf(const std::vector<endpoint> &Peers,
                std::vector<endpoint> &Chosen);

  endpoint Self;
  std::uint32_t Zone;
  /// The start, or when the zone was first known to be large.
  std::optional<instant> DiscoversSince;
  bool WasZoneLarge = false;
  std::map<endpoint, peer> Peers;
  std::mt19937_64 Random;
  std::uint64_t Rounds = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_DIRECTORY_PEER_SELECTOR_H
