//===- force_tree.h - On how many nodes a view is in force ------*- C++ -*-===//
///
/// \file
/// Sums up confirmations along a tree of balancers whose root is the holder of
/// the service's shard, so that no node receives more than Width reports per
/// change and the platform sees one status, not one write per node.
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
    /// The name of the holder of the service's shard; empty if not known.
    std::function<std::string(const std::string &Service)> Holder;
    /// At the root: the sum has changed.
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

  /// What this node knows as the root.
  force_summary summary(const std::string &Service);

private:
  struct service_force {
    std::map<std::string, force_entry> Children;
    instant ChangedAt;
    /// The report that carried it last, until it is acknowledged.
    std::uint32_t Report = 0;
    instant SentAt;
    int Tries = 0;
  };

  /// This node's place in the tree under one holder.
  struct place {
    std::uint64_t PeersVersion = ~std::uint64_t{0};
    std::optional<balancer_info> Parent;
    std::vector<std::string> Children;
  };

  const place &placeUnder(const std::string &Holder);
  force_entry sum(const std::string &Service, const service_force &Force);
  void changed(const std::string &Service, service_force &Force);
  bool due(const service_force &Force) const;
  void reportAgain();
  void send(const endpoint &Parent, const std::vector<std::string> &Names);

  timer_service &Timers;
  const peer_table &Peers;
  const view_store &Views;
  hooks Hooks;
  std::map<std::string, service_force> Services;
  /// Those with something left to say; the others cost nothing.
  std::set<std::string> Active;
  std::map<std::string, place> Places;
  std::uint64_t PeersVersion = 0;
  std::uint32_t LastReport = 0;
  instant TickedAt;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FLEET_FORCE_TREE_H
