//===- gossip.h - Gossip among balancers ------------------------*- C++ -*-===//
///
/// \file
/// Spreads views, the set of peers and shard leases. Updates travel as version
/// numbers in small messages to random peers; a node that lacks a version
/// requests it, so a view crosses a link once, as a delta where possible.
/// Digests in each heartbeat reveal what was missed. The load per node does not
/// grow with the fleet; the time to reach all nodes grows with its logarithm.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_GOSSIP_H
#define MARJORAMRAIL_FLEET_GOSSIP_H

#include "fleet/byte_budget.h"
#include "fleet/peer_table.h"
#include "fleet/view_store.h"

namespace marjoramrail::internal {

class gossip {
public:
  struct hooks {
    /// Returns false if the byte budget does not allow sending now.
    std::function<bool(const endpoint &, const message &, urgency)> Send;
    std::function<void()> OnPeersChanged;
    /// Called with a view received from a peer.
    std::function<void(const membership &)> OnView;
    /// Called with a shard's lease holder as reported by a peer.
    std::function<void(const shard_lease_update &)> OnLease;
    /// Returns the changed shard leases and, with \p Fill, one of the others in
    /// turn.
    std::function<std::vector<shard_lease_update>(bool Fill)> ShardLeases;
  };

  gossip(timer_service &Timers, peer_table &Peers, const view_store &Views,
         std::vector<endpoint> Seeds, hooks Hooks);
  ~gossip();
  gossip(const gossip &) = delete;
  gossip &operator=(const gossip &) = delete;

  /// Runs once per gossip period: sends a heartbeat that requests an answer to
  /// one peer.
  void period();
  /// Runs more often: handles overdue answers and pending updates.
  void tick();

  void take(const endpoint &From, const peer_heartbeat &Heartbeat);
  void take(const endpoint &From, const gossip_update &Update);
  void take(const endpoint &From, const bucket_digests &Digests);
  void take(const endpoint &From, const bucket_versions &Versions);
  void take(const endpoint &From, const view_request &Request);
  void take(const endpoint &From, const view_full &Full);
  void take(const endpoint &From, const view_delta &Delta);

  /// Schedules the sending of a changed view.
  void viewTaken(const std::string &Service);
  void scheduleSpread();

  /// Adds a balancer named by the platform, e.g. as lease holder, so that a
  /// node whose seeds have all been replaced can still find the fleet.
  void addContact(const endpoint &Control);

  /// Notifies some peers that this node leaves.
  void leave();

  /// True if a heartbeat of a peer was received since the start.
  bool peerSeen() const { return PeerSeen; }

private:
  struct request {
    instant RequestedAt;
    int Times = 0;
  };

  peer_heartbeat makeHeartbeat(bool WantsAnswer, bool Fill);
  gossip_update makeUpdate();
  /// Returns how many of the peers were unknown.
  std::size_t takeUpdate(const endpoint &From, const gossip_update &Update);
  std::vector<view_version> nextPendingViews();
  void addRecent(std::vector<view_version> &Versions);
  bool digestsDue() const;
  void spread();
  void retryRequests();
  void contactSeed();
  void compare(const endpoint &From, const std::vector<view_version> &Theirs);
  void exchangeDigests(const endpoint &From);

  timer_service &Timers;
  peer_table &Peers;
  const view_store &Views;
  std::vector<endpoint> Seeds;
  std::vector<endpoint> Contacts;
  hooks Hooks;
  std::map<std::string, int> PendingViews;
  /// The views that changed last, newest first.
  std::deque<std::pair<std::string, instant>> Recent;
  /// Views requested and not yet received.
  std::map<std::string, request> Requested;
  std::optional<timer_id> SpreadTimer;
  instant SpreadAt;
  instant DigestsAt;
  bool PeersDiffer = false;
  bool PeerSeen = false;
  std::uint64_t Periods = 0;
  std::size_t SeedContacts = 0;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_GOSSIP_H
