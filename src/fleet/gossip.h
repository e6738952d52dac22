//===- gossip.h - What balancers tell each other ----------------*- C++ -*-===//
///
/// \file
/// Spreads views, peers and duties. News travels as versions in small beats to
/// random peers, and whoever lacks a version asks for it, so a view crosses a
/// link once; deltas before full views. Digests in each beat find what was
/// missed. The load per node does not grow with the fleet, the time to reach
/// all grows with its logarithm.
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
    /// Returns false if the byte budget does not allow it now.
    std::function<bool(const endpoint &, const message &, urgency)> Send;
    std::function<void()> OnPeersChanged;
    /// A view that a peer sent.
    std::function<void(const membership &)> OnView;
    /// A duty's holder as a peer knows it.
    std::function<void(const shard_lease_update &)> OnLease;
    /// The duties with news and, with \p Fill, one of the others in turn.
    std::function<std::vector<shard_lease_update>(bool Fill)> ShardLeases;
  };

  gossip(timer_service &Timers, peer_table &Peers, const view_store &Views,
         std::vector<endpoint> Seeds, hooks Hooks);
  ~gossip();
  gossip(const gossip &) = delete;
  gossip &operator=(const gossip &) = delete;

  /// One period: asks one peer for a sign of life.
  void period();
  /// More often: overdue answers and news that wait.
  void tick();

  void take(const endpoint &From, const peer_heartbeat &Heartbeat);
  void take(const endpoint &From, const gossip_update &Update);
  void take(const endpoint &From, const bucket_digests &Digests);
  void take(const endpoint &From, const bucket_versions &Versions);
  void take(const endpoint &From, const view_request &Request);
  void take(const endpoint &From, const view_full &Full);
  void take(const endpoint &From, const view_delta &Delta);

  /// News that should go out soon.
  void viewTaken(const std::string &Service);
  void scheduleSpread();

  /// A balancer that the platform names, e.g. as the holder of a lease: a node
  /// whose seeds have all been replaced finds the fleet by it.
  void addContact(const endpoint &Control);

  /// Tells some peers that this node leaves.
  void leave();

  /// A peer has been heard since the start.
  bool peerSeen() const { return PeerSeen; }

private:
  struct request {
    instant AskedAt;
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
  /// Views asked for and not yet received.
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
