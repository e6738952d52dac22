//===- generation_activation.h - When generations take flows ----*- C++ -*-===//
///
/// \file
/// Tracks which agents have acknowledged which generation of a service.
///
//===----------------------------------------------------------------------===//

#ifndef MARJORAMRAIL_SRC_AGENT_GENERATION_ACTIVATION_H
#define MARJORAMRAIL_SRC_AGENT_GENERATION_ACTIVATION_H

#include "marjoramrail/routing.h"

#include <map>
#include <vector>

namespace marjoramrail::internal {

/// Selects the generation under which an agent may accept new flows: the newest
/// one that every live member of the preceding generation has acknowledged.
///
/// Without this rule, planned changes would break flows. Suppose a flow is
/// opened under generation 8 while a balancer knows only 7. That balancer sends
/// the flow's next packet to a member of 7. If this member does not know 8
/// either, it finds no owner and resets the flow. The symptom would be resets
/// with reason no_owner right after each change.
///
/// With the rule, members of 7 know 8 before the first flow of 8 exists, so
/// they can add its owners to the list. By induction, members of 6 know those
/// of 7. Members that the view marks as down receive no packets, so their
/// acknowledgement is not required.
class generation_activation {
public:
  explicit generation_activation(host_id Self) : Self(Self) {}

  void applyView(const service_view &View);

  /// Records that \p Host, in \p Incarnation, knows \p Generation. A restarted
  /// agent has lost its views, so acknowledgements of earlier incarnations do
  /// not count.
  void acknowledge(host_id Host, std::uint32_t Incarnation,
                   std::uint64_t Generation);

  /// Position, in the view's generations, of the newest active one. The oldest
  /// is always active.
  std::size_t newestActive() const { return ActivePosition; }

  /// Members that have yet to acknowledge the next generation.
  const std::vector<host_id> &missingHosts() const { return MissingHosts; }

private:
  struct acknowledgement {
    std::uint32_t Incarnation = 0;
    std::uint64_t Generation = 0;
  };

  bool knows(host_id Host, std::uint64_t Generation) const;
  void update();

  host_id Self;
  std::vector<generation> Generations;
  std::map<host_id, std::uint32_t> Live;
  std::map<host_id, acknowledgement> Acknowledgements;
  std::size_t ActivePosition = 0;
  std::vector<host_id> MissingHosts;
};

} // namespace marjoramrail::internal

#endif // MARJORAMRAIL_SRC_AGENT_GENERATION_ACTIVATION_H
