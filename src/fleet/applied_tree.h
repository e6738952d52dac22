//===- applied_tree.h - Counts nodes that apply a view ----------*- C++ -*-===//
///
/// \file
/// Aggregates, over one tree of all balancers, the confirmations that a view is
/// in effect; the root reports the total to the lease holder of each service's
/// shard. No node receives more than Width reports a second, however many
/// services change, and the platform gets one status write instead of one per
/// node. Every node derives the tree from the set of names it knows. While
/// these sets differ between nodes, a total can be too small for a moment, but
/// is never reported complete by mistake.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_APPLIED_TREE_H
#define MARJORAMRAIL_FLEET_APPLIED_TREE_H

#include "fleet/peer_table.h"
#include "fleet/shard_controller.h"
#include "fleet/view_store.h"

namespace marjoramrail::internal {

class applied_tree {
public:
  struct hooks {
    /// Skips sending if the byte budget is spent.
    std::function<void(const endpoint &, const message &)> Send;
    /// Returns the lease holder of the service's shard; its name is empty if
    /// unknown.
    std::function<shard_lease_update(const std::string &Service)> Holder;
    /// Called at the lease holder when the total has changed.
    std::function<void(const std::string &Service)> OnChange;
  };

  /// Children per node: five levels carry 12,000 nodes.
  static constexpr std::size_t Width = 8;

  applied_tree(timer_service &Timers, const peer_table &Peers,
               const view_store &Views, hooks Hooks);

  void viewTaken(const std::string &Service);
  void take(const endpoint &From, const applied_report &Report);
  void take(const applied_ack &Ack);
  void tick();

  /// Returns the total known to this node as lease holder.
  applied_summary summary(const std::string &Service);

private:
  struct applied_progress {
    std::map<std::string, applied_entry> Children;
    /// The total that the root reported to this node as lease holder.
    applied_entry FromRoot;
    /// All nodes below have confirmed up to this version; no details are kept.
    std::uint64_t Completed = 0;
    bool Complete = false;
    instant ChangedAt;
    /// Number of the last report that carried this service; reset when the
    /// state changes, so that it is reported again.
    std::uint32_t Report = 0;
    instant SentAt;
    int Tries = 0;
  };

  /// This node's place in the tree.
  struct place {
    std::uint64_t PeersVersion = ~std::uint64_t{0};
    std::string Root;
    std::optional<balancer_info> Parent;
    std::vector<std::string> Children;
  };

  const place &currentPlace();
  bool isRoot() { return currentPlace().Root == Peers.self().Name; }
  applied_entry sum(const std::string &Service,
                    const applied_progress &Progress);
  void changed(const std::string &Service, applied_progress &Progress);
  void takeFromRoot(const applied_report &Report, const applied_entry &Entry);
  bool due(const applied_progress &Progress) const;
  void scheduleReports();
  /// Returns where this node sends its total for a service.
  std::optional<endpoint> receiverOf(const std::string &Service);
  void send(const endpoint &To, const std::vector<std::string> &Names);
  void releaseIfComplete(const std::string &Service,
                         applied_progress &Progress);

  timer_service &Timers;
  const peer_table &Peers;
  const view_store &Views;
  hooks Hooks;
  std::map<std::string, applied_progress> Services;
  /// Services with an unconfirmed report; only these are visited in tick().
  std::set<std::string> Active;
  place Place;
  std::uint64_t PeersVersion = 0;
  std::uint32_t LastReport = 0;
  instant TickedAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_APPLIED_TREE_H
