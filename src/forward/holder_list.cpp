#include "forward/holder_list.h"

namespace marjoramrail::internal {

const std::vector<std::size_t> &
holder_order::forFlow(const std::vector<std::size_t> &Agents,
                      const flow_key &Flow) {
  Scores.clear();
  for (std::size_t I = 0; I < Agents.size(); ++I) {
    const endpoint &Agent = Roster.at(Agents[I]).Agent;
    Scores.push_back({hashOf(Flow, endpoint_hash()(Agent)), I});
  }
  std::sort(Scores.begin(), Scores.end(),
            [](const scored &A, const scored &B) { return A.Score < B.Score; });
  Order.clear();
  for (const scored &Item : Scores)
    Order.push_back(Item.Position);
  return Order;
}

/// The rank of an agent in every list: its zone, and behind all zones the same
/// for agents that do not answer.
static std::uint64_t rankOf(const agent_state &Agent) {
  constexpr std::uint64_t BehindAllZones = std::uint64_t{1} << 32;
  return Agent.ZoneOrder + (Agent.Suspect ? BehindAllZones : 0);
}

void holder_order::list(const std::vector<std::size_t> &Agents,
                        const flow_key &Flow,
                        const std::optional<endpoint> &First,
                        holder_list &List) {
  Scores.clear();
  for (const std::size_t Index : Agents) {
    const agent_state &Agent = Roster.at(Index);
    // A flow whose holder is remembered needs no order of its own behind it.
    const std::uint64_t Own =
        First ? 0 : hashOf(Flow, endpoint_hash()(Agent.Agent)) >> 33;
    Scores.push_back({rankOf(Agent) << 31 | Own, Index});
  }
  std::sort(Scores.begin(), Scores.end(),
            [](const scored &A, const scored &B) { return A.Score < B.Score; });
  if (First)
    List.add(*First);
  for (const scored &Item : Scores) {
    const endpoint &Agent = Roster.at(Item.Position).Agent;
    if (First == Agent)
      continue;
    if (!List.add(Agent))
      List.markCut();
  }
}

} // namespace marjoramrail::internal
