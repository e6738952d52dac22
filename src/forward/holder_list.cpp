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
static std::uint64_t rankOf(const agent_state &Agent, bool IsBehind) {
  constexpr std::uint64_t BehindAllZones = std::uint64_t{1} << 32;
  return Agent.ZoneOrder + (IsBehind ? BehindAllZones : 0);
}

template <typename Predicate>
void holder_order::sort(const std::vector<std::size_t> &Agents,
                        const flow_key &Flow, bool OwnOrder,
                        const Predicate &IsBehind) {
  Scores.clear();
  for (const std::size_t Index : Agents) {
    const agent_state &Agent = Roster.at(Index);
    const std::uint64_t Own =
        OwnOrder ? hashOf(Flow, endpoint_hash()(Agent.Agent)) >> 33 : 0;
    Scores.push_back({rankOf(Agent, IsBehind(Agent)) << 31 | Own, Index});
  }
  std::sort(Scores.begin(), Scores.end(),
            [](const scored &A, const scored &B) { return A.Score < B.Score; });
}

void holder_order::sortForWalk(const std::vector<std::size_t> &Agents,
                               const flow_key &Flow, bool OwnOrder,
                               instant Now) {
  State = Roster.order();
  sort(Agents, Flow, OwnOrder,
       [Now](const agent_state &Agent) { return Agent.isDoubtful(Now); });
}

void holder_order::sortForLongWalk(const std::vector<std::size_t> &Agents,
                                   const flow_key &Flow, walk_order State) {
  this->State = State;
  sort(Agents, Flow, /*OwnOrder=*/true,
       [State](const agent_state &Agent) { return Agent.isBehind(State); });
}

std::optional<walk_cursor>
holder_order::list(std::size_t Named, const std::optional<endpoint> &First,
                   holder_list &List) const {
  if (First)
    List.add(*First);
  for (; Named < Scores.size(); ++Named) {
    const endpoint &Agent = Roster.at(Scores[Named].Position).Agent;
    if (First != Agent && !List.add(Agent))
      return walk_cursor{static_cast<std::uint16_t>(Named), State,
                         fingerprint(Named)};
  }
  return std::nullopt;
}

bool holder_order::beginsAs(const walk_cursor &Cursor) const {
  return Cursor.Named <= Scores.size() &&
         fingerprint(Cursor.Named) == Cursor.Fingerprint;
}

std::uint64_t holder_order::fingerprint(std::size_t Named) const {
  // Any odd multiplier mixes; this is the 64-bit golden ratio.
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
  std::uint64_t Hash = Named;
  for (std::size_t I = 0; I < Named; ++I) {
    const endpoint &Agent = Roster.at(Scores[I].Position).Agent;
    Hash = (Hash ^ Agent.Address) * Multiplier;
    Hash = (Hash ^ Hash >> 29 ^ Agent.Port) * Multiplier;
  }
  return Hash >> (64 - FingerprintBits);
}

} // namespace marjoramrail::internal
