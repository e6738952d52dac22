//===- generation_activation.h - When a generation takes new flows *- C++ -*-===//

#ifndef MARJORAMRAIL_SRC_AGENT_GENERATION_ACTIVATION_H
#define MARJORAMRAIL_SRC_AGENT_GENERATION_ACTIVATION_H

#include "marjoramrail/routing.h"

#include <map>
#include <vector>

namespace marjoramrail::internal {

/// Decides under which generation an agent may accept new flows: the newest one
/// that every live member of the generation before has acknowledged.
///
/// What goes wrong without it: a flow is opened under generation 8 while a
/// balancer knows only 7. The flow's next packet, by that balancer, reaches a
/// member of 7. If that agent does not know 8 either, it finds nobody who owns
/// the flow and resets it: a broken flow in the middle of a planned change. One
/// would see it as resets with reason no_owner right after each change.
///
/// With the gate, members of 7 know 8 before the first flow of 8 exists, so
/// they can add its owners to the list; and by induction members of 6 lead to
/// those of 7. Members that the view declares down get no packets and are not
/// waited for.
class generation_activation {
public:
  explicit generation_activation(host_id Self) : Self(Self) {}

  void takeView(const service_view &View);

  /// \p Host, in \p Incarnation, knows \p Generation. A restarted agent has
  /// forgotten what it knew, so its former word does not count.
  void acknowledge(host_id Host, std::uint32_t Incarnation,
                   std::uint64_t Generation);

  /// The position in the view's generations of the newest that is open. The
  /// oldest always is.
  std::size_t newestActive() const { return ActivePosition; }

  /// Members whose word is still missing for some generation.
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
