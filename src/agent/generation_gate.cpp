#include "agent/generation_gate.h"

#include <algorithm>

namespace marjoramrail::internal {

void generation_gate::takeView(const service_view &View) {
  Generations = View.Generations;
  Live.clear();
  for (const target &Target : View.Targets)
    if (Target.State != target_state::Down)
      Live[Target.Id] = Target.Incarnation;
  update();
}

void generation_gate::heard(host_id Host, std::uint32_t Incarnation,
                            std::uint64_t Generation) {
  word &Word = Words[Host];
  if (Incarnation < Word.Incarnation)
    return;
  if (Incarnation == Word.Incarnation && Generation <= Word.Generation)
    return;
  Word = {Incarnation, Generation};
  update();
}

bool generation_gate::knows(host_id Host, std::uint64_t Generation) const {
  if (Host == Self)
    return true;
  const auto Alive = Live.find(Host);
  if (Alive == Live.end())
    return true;
  const auto Word = Words.find(Host);
  return Word != Words.end() && Word->second.Generation >= Generation &&
         Word->second.Incarnation >= Alive->second;
}

void generation_gate::update() {
  Awaited.clear();
  Open = Generations.empty() ? 0 : Generations.size() - 1;
  while (Open > 0) {
    const std::uint64_t Next = Generations[Open - 1].Number;
    for (const member &Member : Generations[Open].Members)
      if (!knows(Member.Host, Next))
        Awaited.push_back(Member.Host);
    if (!Awaited.empty())
      return;
    --Open;
  }
}

} // namespace marjoramrail::internal
