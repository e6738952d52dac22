//===- force_tree.h - On how many nodes a view is in force ------*- C++ -*-===//
///
/// \file
/// Sums up confirmations along one tree over all balancers; its root tells each
/// service's holder. So no node receives more than Width reports a second,
/// however many services change, and the platform sees one status, not one
/// write per node. The tree follows from the names that all nodes know; while
/// they differ, sums are too small for a moment, never complete by mistake.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FLEET_FORCE_TREE_H
#define MARJORAMRAIL_FLEET_FORCE_TREE_H

#include "fleet/duty_holder.h"
#include "fleet/peer_table.h"
#include "fleet/view_store.h"

namespace marjoramrail::internal {

class force_tree {
public:
  struct hooks {
    /// May not send if the byte budget is spent.
    std::function<void(const endpoint &, const message &)> Send;
    /// The holder of the service's shard; its name is empty if not known.
    std::function<duty_news(const std::string &Service)> Holder;
    /// At the holder: the sum has changed.
    std::function<void(const std::string &Service)> OnChange;
  };

  /// Children per node: five levels carry 12,000 nodes.
  static constexpr std::size_t Width = 8;

  force_tree(timer_service &Timers, const peer_table &Peers,
             const view_store &Views, hooks Hooks);

  void viewTaken(const std::string &Service);
  void take(const endpoint &From, const force_report &Report);
  void take(const force_ack &Ack);
  void tick();

  /// What this node knows as the holder.
  force_summary summary(const std::string &Service);

private:
  struct service_force {
    std::map<std::string, force_entry> Children;
    /// What the root told this node as the holder.
    force_entry FromRoot;
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

  const place &here();
  bool isRoot() { return here().Root == Peers.self().Name; }
  force_entry sum(const std::string &Service, const service_force &Force);
  void changed(const std::string &Service, service_force &Force);
  void takeFromRoot(const force_report &Report, const force_entry &Entry);
  bool due(const service_force &Force) const;
  void reportAgain();
  /// Where the sum of a service goes from here.
  std::optional<endpoint> receiverOf(const std::string &Service);
  void send(const endpoint &To, const std::vector<std::string> &Names);
  void finish(const std::string &Service, service_force &Force);

  timer_service &Timers;
  const peer_table &Peers;
  const view_store &Views;
  hooks Hooks;
  std::map<std::string, service_force> Services;
  /// Those with something left to say; the others cost nothing.
  std::set<std::string> Active;
  place Place;
  std::uint64_t PeersVersion = 0;
  std::uint32_t LastReport = 0;
  instant TickedAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_FORCE_TREE_H
