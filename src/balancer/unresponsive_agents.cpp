#include "balancer/unresponsive_agents.h"

#include <algorithm>

namespace marjoramrail::internal {

void unresponsive_agents::add(const endpoint &Agent, instant Now) {
  const auto Found =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const entry &Entry) { return Entry.Agent == Agent; });
  if (Found != Entries.end())
    Found->Until = Now + EntryLifetime;
  else if (Entries.size() < MaxEntries)
    Entries.push_back({Agent, Now + EntryLifetime});
}

bool unresponsive_agents::contains(const endpoint &Agent) const {
  return std::any_of(Entries.begin(), Entries.end(),
                     [&](const entry &Entry) { return Entry.Agent == Agent; });
}

void unresponsive_agents::demote(const service_router &Router,
                                 owner_list &Owners, instant Now) {
  if (Entries.empty())
    return;
  std::erase_if(Entries,
                [&](const entry &Entry) { return Entry.Until <= Now; });
  std::size_t Left = Owners.size();
  for (std::size_t I = 0; Left > 0; --Left) {
    if (contains(Router.targetAt(Owners[I]).Agent))
      Owners.moveToBack(I);
    else
      ++I;
  }
}

} // namespace marjoramrail::internal
