#include "agent/neighbour_ring.h"

namespace marjoramrail::internal {

void neighbour_ring::applyView(const service_view &View, host_id Self) {
  const target *Next = nullptr;
  const target *Least = nullptr;
  for (const target &Target : View.Targets) {
    if (Target.State == target_state::Down || Target.Id == Self)
      continue;
    if (Least == nullptr || Target.Id < Least->Id)
      Least = &Target;
    if (Target.Id > Self && (Next == nullptr || Target.Id < Next->Id))
      Next = &Target;
  }
  const target *Chosen = Next != nullptr ? Next : Least;
  Neighbour.reset();
  if (Chosen != nullptr)
    Neighbour = Chosen->Agent;
}

void neighbour_ring::noteBalancer(const endpoint &Balancer, instant Now) {
  const auto Found = Balancers.find(Balancer);
  if (Found != Balancers.end())
    Found->second = Now;
  else if (Balancers.size() < MaxBalancers)
    Balancers.emplace(Balancer, Now);
}

std::vector<endpoint> neighbour_ring::balancersToNotify(bool PossiblyDown,
                                                        instant Now) {
  std::vector<endpoint> ToNotify;
  if (!PossiblyDown) {
    LastNotified.reset();
    return ToNotify;
  }
  if (LastNotified && Now - *LastNotified < NotifyInterval)
    return ToNotify;
  LastNotified = Now;
  std::erase_if(Balancers, [&](const auto &Item) {
    return Now - Item.second > BalancerTimeout;
  });
  for (const auto &[Balancer, Seen] : Balancers)
    ToNotify.push_back(Balancer);
  return ToNotify;
}

} // namespace marjoramrail::internal
