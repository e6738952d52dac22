//===- flow_cache.h - Cached owners of flows --------------------*- C++ -*-===//
///
/// \file
/// Caches to which agent a balancer sent each flow, so that most packets need
/// no owner lookup. This is soft state: a lost entry costs a lookup and breaks
/// no flow.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_FLOW_CACHE_H
#define MARJORAMRAIL_FORWARD_FLOW_CACHE_H

#include "marjoramrail/base.h"

#include <unordered_map>

namespace marjoramrail::internal {

/// The agent that a flow's packets are sent to.
struct flow_place {
  endpoint Agent;
  /// The agent reported itself as the owner, or received packets of the open
  /// flow while it was running and no other agent reported itself. If false,
  /// the flow was only placed there, and another target may have accepted it.
  bool IsConfirmed = false;
};

class flow_cache {
public:
  /// A flow without packets for longer needs an owner lookup again.
  static constexpr duration IdleRetention = std::chrono::seconds(60);

  explicit flow_cache(std::size_t MaxFlows) : MaxFlows(MaxFlows) {}

  std::optional<flow_place> find(const flow_key &Flow, instant Now) {
    const auto Found = Flows.find(Flow);
    if (Found == Flows.end())
      return std::nullopt;
    Found->second.UsedAt = Now;
    return Found->second.Place;
  }

  void store(const flow_key &Flow, const flow_place &Place, instant Now) {
    if (Flows.size() >= MaxFlows)
      Flows.erase(Flows.begin());
    Flows[Flow] = {Place, Now};
  }

  void confirm(const flow_key &Flow) {
    const auto Found = Flows.find(Flow);
    if (Found != Flows.end())
      Found->second.Place.IsConfirmed = true;
  }

  void remove(const flow_key &Flow) { Flows.erase(Flow); }

  void removeExpired(instant Now) {
    std::erase_if(Flows, [&](const auto &Item) {
      return Now - Item.second.UsedAt > IdleRetention;
    });
  }

  std::size_t size() const { return Flows.size(); }

private:
  struct entry {
    flow_place Place;
    instant UsedAt;
  };

  std::size_t MaxFlows;
  std::unordered_map<flow_key, entry, flow_key_hash> Flows;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_FLOW_CACHE_H
