//===- flow_memory.h - Where a balancer sent a flow -------------*- C++ -*-===//
///
/// \file
/// Spares packets the walk through their list. Soft state: losing it costs a
/// detour and breaks nothing.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_FLOW_MEMORY_H
#define MARJORAMRAIL_FORWARD_FLOW_MEMORY_H

#include "marjoramrail/base.h"

#include <unordered_map>

namespace marjoramrail::internal {

class flow_memory {
public:
  /// Flows that say nothing for longer are walked for again.
  static constexpr duration KeptFor = std::chrono::seconds(60);

  explicit flow_memory(std::size_t MaxFlows) : MaxFlows(MaxFlows) {}

  std::optional<endpoint> find(const flow_key &Flow, instant Now) {
    const auto Found = Flows.find(Flow);
    if (Found == Flows.end())
      return std::nullopt;
    Found->second.UsedAt = Now;
    return Found->second.Agent;
  }

  void note(const flow_key &Flow, const endpoint &Agent, instant Now) {
    if (Flows.size() >= MaxFlows)
      Flows.erase(Flows.begin());
    Flows[Flow] = {Agent, Now};
  }

  void forget(const flow_key &Flow) { Flows.erase(Flow); }

  void forgetOld(instant Now) {
    std::erase_if(Flows, [&](const auto &Item) {
      return Now - Item.second.UsedAt > KeptFor;
    });
  }

  std::size_t size() const { return Flows.size(); }

private:
  struct place {
    endpoint Agent;
    instant UsedAt;
  };

  std::size_t MaxFlows;
  std::unordered_map<flow_key, place, flow_key_hash> Flows;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_FLOW_MEMORY_H
