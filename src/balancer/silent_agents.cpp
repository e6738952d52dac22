#include "balancer/silent_agents.h"

#include <algorithm>

namespace marjoramrail::internal {

void silent_agents::add(const endpoint &Agent, instant Now) {
  const auto Found =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const entry &Entry) { return Entry.Agent == Agent; });
  if (Found != Entries.end())
    Found->Until = Now + Life;
  else if (Entries.size() < Most)
    Entries.push_back({Agent, Now + Life});
}

bool silent_agents::isSilent(const endpoint &Agent) const {
  return std::any_of(Entries.begin(), Entries.end(),
                     [&](const entry &Entry) { return Entry.Agent == Agent; });
}

void silent_agents::demote(const service_router &Router, owner_list &Owners,
                           instant Now) {
  if (Entries.empty())
    return;
  std::erase_if(Entries,
                [&](const entry &Entry) { return Entry.Until <= Now; });
  std::size_t Left = Owners.size();
  for (std::size_t I = 0; Left > 0; --Left) {
    if (isSilent(Router.targetAt(Owners[I]).Agent))
      Owners.moveToBack(I);
    else
      ++I;
  }
}

} // namespace marjoramrail::internal
