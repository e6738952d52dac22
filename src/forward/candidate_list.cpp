#include "forward/candidate_list.h"

namespace marjoramrail::internal {

const std::vector<std::size_t> &
candidate_order::forFlow(const std::vector<std::size_t> &Agents,
                         const flow_key &Flow) {
  Scores.clear();
  for (std::size_t I = 0; I < Agents.size(); ++I) {
    const endpoint &Agent = AgentTable.at(Agents[I]).Agent;
    Scores.push_back({hashOf(Flow, endpoint_hash()(Agent)), I});
  }
  std::sort(Scores.begin(), Scores.end(),
            [](const scored &A, const scored &B) { return A.Score < B.Score; });
  Order.clear();
  for (const scored &Item : Scores)
    Order.push_back(Item.Position);
  return Order;
}

/// Sort key of an agent in every list: its zone, or a position after all zones
/// for deprioritized agents, which may have failed.
static std::uint64_t rankOf(const agent_state &Agent, bool IsDeprioritized) {
  constexpr std::uint64_t BehindAllZones = std::uint64_t{1} << 32;
  return Agent.ZoneOrder + (IsDeprioritized ? BehindAllZones : 0);
}

template <typename Predicate>
void candidate_order::sort(const std::vector<std::size_t> &Agents,
                           const flow_key &Flow, bool OwnOrder,
                           const Predicate &IsDeprioritized) {
  Scores.clear();
  for (const std::size_t Index : Agents) {
    const agent_state &Agent = AgentTable.at(Index);
    const std::uint64_t Own =
        OwnOrder ? hashOf(Flow, endpoint_hash()(Agent.Agent)) >> 33 : 0;
    Scores.push_back(
        {rankOf(Agent, IsDeprioritized(Agent)) << 31 | Own, Index});
  }
  std::sort(Scores.begin(), Scores.end(),
            [](const scored &A, const scored &B) { return A.Score < B.Score; });
}

void candidate_order::sortForLookup(const std::vector<std::size_t> &Agents,
                                    const flow_key &Flow, bool OwnOrder,
                                    instant Now) {
  Parity = AgentTable.orderParity();
  sort(Agents, Flow, OwnOrder,
       [Now](const agent_state &Agent) { return Agent.isUnverified(Now); });
}

void candidate_order::sortForContinuedLookup(
    const std::vector<std::size_t> &Agents, const flow_key &Flow,
    order_parity Parity) {
  this->Parity = Parity;
  sort(Agents, Flow, /*OwnOrder=*/true, [Parity](const agent_state &Agent) {
    return Agent.isDeprioritized(Parity);
  });
}

std::optional<lookup_cursor>
candidate_order::list(std::size_t Listed, const std::optional<endpoint> &First,
                      candidate_list &List) const {
  if (First)
    List.add(*First);
  for (; Listed < Scores.size(); ++Listed) {
    const endpoint &Agent = AgentTable.at(Scores[Listed].Position).Agent;
    if (First != Agent && !List.add(Agent))
      return lookup_cursor{static_cast<std::uint16_t>(Listed), Parity,
                           fingerprint(Listed)};
  }
  return std::nullopt;
}

bool candidate_order::hasSamePrefix(const lookup_cursor &Cursor) const {
  return Cursor.Listed <= Scores.size() &&
         fingerprint(Cursor.Listed) == Cursor.Fingerprint;
}

std::uint64_t candidate_order::fingerprint(std::size_t Listed) const {
  // Any odd multiplier mixes the bits; this is the 64-bit golden ratio.
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15ULL;
  std::uint64_t Hash = Listed;
  for (std::size_t I = 0; I < Listed; ++I) {
    const endpoint &Agent = AgentTable.at(Scores[I].Position).Agent;
    Hash = (Hash ^ Agent.Address) * Multiplier;
    Hash = (Hash ^ Hash >> 29 ^ Agent.Port) * Multiplier;
  }
  return Hash >> (64 - FingerprintBits);
}

} // namespace marjoramrail::internal
