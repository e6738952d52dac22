//===- candidate_list.h - Owner candidates in order -------------*- C++ -*-===//
///
/// \file
/// Writes the list of agents that a packet carries: the agents whose targets
/// may own the flow, the most likely owner first. Uses fixed arrays and reuses
/// its buffers because this code runs for every packet.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_FORWARD_CANDIDATE_LIST_H
#define MARJORAMRAIL_FORWARD_CANDIDATE_LIST_H

#include "forward/agent_table.h"
#include "forward/lookup_cursor.h"

#include <array>

namespace marjoramrail::internal {

/// The agents listed in one packet, at most as many as fit into its header.
class candidate_list {
public:
  /// \p PacketBytes is the size of the packet that follows the list.
  explicit candidate_list(std::size_t PacketBytes)
      : Limit(std::max<std::size_t>(ownersThatFit(PacketBytes), 1)) {}

  /// Returns false if the list is full.
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

/// Sorts the agents of an agent table for one flow.
class candidate_order {
public:
  explicit candidate_order(const agent_table &AgentTable)
      : AgentTable(AgentTable) {}

  /// Returns the rendezvous hashing order of \p Agents (positions in the table)
  /// for \p Flow, as positions in \p Agents. The order is the same on every
  /// balancer, so a balancer that has not seen a flow looks for it first where
  /// it was most likely placed. The result is valid until the next call.
  const std::vector<std::size_t> &
  forFlow(const std::vector<std::size_t> &Agents, const flow_key &Flow);

  /// Sorts \p Agents for an owner lookup: the own zone first, then zone by
  /// zone, and unverified agents at the end, so that a packet lost there has
  /// already been offered to all others. If \p OwnOrder is set, agents within a
  /// zone are in the flow's rendezvous order.
  void sortForLookup(const std::vector<std::size_t> &Agents,
                     const flow_key &Flow, bool OwnOrder, instant Now);
  /// Like sortForLookup, in the flow's own order, for a lookup that needs
  /// several lists. The agents at the end are those that were there when \p
  /// Parity was current.
  void sortForContinuedLookup(const std::vector<std::size_t> &Agents,
                              const flow_key &Flow, order_parity Parity);
  /// Adds to \p List the agents after the first \p Listed of that order, as
  /// many as fit, with \p First (if any) in front. Returns where the next list
  /// begins, or nothing if all agents are listed.
  std::optional<lookup_cursor> list(std::size_t Listed,
                                    const std::optional<endpoint> &First,
                                    candidate_list &List) const;
  /// Returns the cursor of a lookup that has listed no agent yet.
  lookup_cursor initialCursor() const {
    return {0, AgentTable.orderParity(), fingerprint(0)};
  }
  /// Returns true if the agents listed so far are the same as when \p Cursor
  /// was written.
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
  /// The parity that the agents were sorted by.
  order_parity Parity = order_parity::Even;
  std::vector<std::size_t> Order;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_FORWARD_CANDIDATE_LIST_H
