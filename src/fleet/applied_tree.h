//===- applied_tree.h - On how many nodes a view is in force ------*- C++
//-*-===//
///
/// \file
/// Sums up confirmations along one tree over all balancers; its root tells each
/// service's holder. So no node receives more than Width reports a second,
/// however many services change, and the platform sees one status, not one
/// write per node. The tree follows from the names that all nodes know; while
/// they differ, sums are too small for a moment, never complete by mistake.
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
    /// May not send if the byte budget is spent.
    std::function<void(const endpoint &, const message &)> Send;
    /// The holder of the service's shard; its name is empty if not known.
    std::function<shard_lease_update(const std::string &Service)> Holder;
    /// At the holder: the sum has changed.
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

  /// What this node knows as the holder.
  applied_summary summary(const std::string &Service);

private:
  struct applied_progress {
    std::map<std::string, applied_entry> Children;
    /// What the root told this node as the holder.
    applied_entry FromRoot;
    /// Everyone below has confirmed up to here: nothing more is kept.
    std::uint64_t Completed = 0;
    bool Complete = false;
    instant ChangedAt;
    /// The report that carried it last, until it is acknowledged.
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
  /// Where the sum of a service goes from here.
  std::optional<endpoint> receiverOf(const std::string &Service);
  void send(const endpoint &To, const std::vector<std::string> &Names);
  void releaseIfComplete(const std::string &Service,
                         applied_progress &Progress);

  timer_service &Timers;
  const peer_table &Peers;
  const view_store &Views;
  hooks Hooks;
  std::map<std::string, applied_progress> Services;
  /// Those with something left to say; the others cost nothing.
  std::set<std::string> Active;
  place Place;
  std::uint64_t PeersVersion = 0;
  std::uint32_t LastReport = 0;
  instant TickedAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_APPLIED_TREE_H
