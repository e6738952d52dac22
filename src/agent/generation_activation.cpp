#include "agent/generation_activation.h"

#include <algorithm>

namespace marjoramrail::internal {

void generation_activation::applyView(const service_view &View) {
  Generations = View.Generations;
  Live.clear();
  for (const target &Target : View.Targets)
    if (Target.State != target_state::Down)
      Live[Target.Id] = Target.Incarnation;
  update();
}

void generation_activation::acknowledge(host_id Host, std::uint32_t Incarnation,
                                        std::uint64_t Generation) {
  acknowledgement &Acknowledged = Acknowledgements[Host];
  if (Incarnation < Acknowledged.Incarnation)
    return;
  if (Incarnation == Acknowledged.Incarnation &&
      Generation <= Acknowledged.Generation)
    return;
  Acknowledged = {Incarnation, Generation};
  update();
}

bool generation_activation::knows(host_id Host,
                                  std::uint64_t Generation) const {
  if (Host == Self)
    return true;
  const auto Alive = Live.find(Host);
  if (Alive == Live.end())
    return true;
  const auto Acknowledged = Acknowledgements.find(Host);
  return Acknowledged != Acknowledgements.end() &&
         Acknowledged->second.Generation >= Generation &&
         Acknowledged->second.Incarnation >= Alive->second;
}

void generation_activation::update() {
  MissingHosts.clear();
  ActivePosition = Generations.empty() ? 0 : Generations.size() - 1;
  while (ActivePosition > 0) {
    const std::uint64_t Next = Generations[ActivePosition - 1].Number;
    for (const member &Member : Generations[ActivePosition].Members)
      if (!knows(Member.Host, Next))
        MissingHosts.push_back(Member.Host);
    if (!MissingHosts.empty())
      return;
    --ActivePosition;
  }
}

} // namespace marjoramrail::internal
