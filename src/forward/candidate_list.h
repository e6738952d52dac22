//===- candidate_list.h - Who may hold a flow, likeliest first -----*- C++
//-*-===//
///
/// \file
/// Writes the list of agents that a packet carries. Fixed arrays and scratch
/// space that is kept: this runs for every packet.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_CANDIDATE_LIST_H
#define MARJORAMRAIL_FORWARD_CANDIDATE_LIST_H

#include "forward/agent_table.h"
#include "forward/lookup_cursor.h"

#include <array>

namespace marjoramrail::internal {

/// The agents of a packet, as many as its head can name.
class candidate_list {
public:
  /// For a packet of \p PacketBytes.
  explicit candidate_list(std::size_t PacketBytes)
      : Limit(std::max<std::size_t>(ownersThatFit(PacketBytes), 1)) {}

  /// False if the list is full.
  bool add(const endpoint &Agent) {
    if (Count == Limit)
      return false;
    Agents[Count++] = Agent;
    return true;
  }

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }
  const endpoint &front() const { return Agents.front(); }
  const endpoint *begin() const { return Agents.data(); }
  const endpoint *end() const { return Agents.data() + Count; }
  std::size_t limit() const { return Limit; }

private:
  std::array<endpoint, MaxRoutedOwners> Agents;
  std::size_t Limit;
  std::size_t Count = 0;
};

/// Orders the agents of a roster for one flow.
class candidate_order {
public:
  explicit candidate_order(const agent_table &AgentTable)
      : AgentTable(AgentTable) {}

  /// Rendezvous order of \p Agents (positions in the roster) for \p Flow: alike
  /// on every balancer, so that one that has not heard of a flow looks for it
  /// first where it was most likely placed. Positions in \p Agents; valid until
  /// the next call.
  const std::vector<std::size_t> &
  forFlow(const std::vector<std::size_t> &Agents, const flow_key &Flow);

  /// Works out the order in which a walk asks \p Agents: own zone before
  /// others, zone by zone, and those that do not answer at the end, where a
  /// walk that they swallow has already asked everyone else. \p OwnOrder: in
  /// the flow's own order within each zone.
  void sortForLookup(const std::vector<std::size_t> &Agents,
                     const flow_key &Flow, bool OwnOrder, instant Now);
  /// The same, in the flow's own order, for a walk that one list does not hold:
  /// those stand at the end who did when \p Parity was current.
  void sortForContinuedLookup(const std::vector<std::size_t> &Agents,
                              const flow_key &Flow, order_parity Parity);
  /// Of that order, those who come after \p Listed, as many as fit; \p First
  /// (if any) in front. Returns where the next list begins, or nothing if it
  /// names everyone.
  std::optional<lookup_cursor> list(std::size_t Listed,
                                    const std::optional<endpoint> &First,
                                    candidate_list &List) const;
  /// Where a walk begins that has asked nobody of any order.
  lookup_cursor initialCursor() const {
    return {0, AgentTable.orderParity(), fingerprint(0)};
  }
  /// Whether that order begins as it did when \p Cursor was written.
  bool hasSamePrefix(const lookup_cursor &Cursor) const;

private:
  template <typename Predicate>
  void sort(const std::vector<std::size_t> &Agents, const flow_key &Flow,
            bool OwnOrder, const Predicate &IsDeprioritized);
  std::uint64_t fingerprint(std::size_t Listed) const;

  struct scored {
    std::uint64_t Score;
    std::size_t Position;
  };

  const agent_table &AgentTable;
  std::vector<scored> Scores;
  /// By which they were sorted.
  order_parity Parity = order_parity::Even;
  std::vector<std::size_t> Order;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_CANDIDATE_LIST_H
