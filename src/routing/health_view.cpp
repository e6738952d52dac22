#include "marjoramrail/routing.h"

#include <algorithm>

namespace marjoramrail {

void health_view::claim(host_id Host, bool Healthy, instant Now) {
  evidence &Evidence = Hosts[Host];
  Evidence.Claimed = Healthy;
  Evidence.ClaimedAt = Now;
}

void health_view::outcome(host_id Host, bool Succeeded, instant Now) {
  evidence &Evidence = Hosts[Host];
  if (Succeeded) {
    Evidence.Failures = 0;
    Evidence.SucceededAt = Now;
    return;
  }
  ++Evidence.Failures;
  Evidence.FailedAt = Now;
}

bool health_view::seemsHealthy(host_id Host, instant Now) const {
  const auto Found = Hosts.find(Host);
  if (Found == Hosts.end())
    return true;
  const evidence &Evidence = Found->second;
  // Failures refute a claim only for a limited time: a target without work
  // could never show that it has recovered.
  if (Evidence.Failures >= FailuresToRefute &&
      Now - *Evidence.FailedAt < OutcomeLifetime)
    return false;
  if (Evidence.Claimed || !Evidence.ClaimedAt ||
      Now - *Evidence.ClaimedAt >= ClaimLifetime)
    return true;
  // The target claims to be unhealthy. Requests that succeeded since then
  // refute the claim.
  return Evidence.SucceededAt && *Evidence.SucceededAt > *Evidence.ClaimedAt &&
         Now - *Evidence.SucceededAt < OutcomeLifetime;
}

std::vector<host_id> health_view::usable(const std::vector<host_id> &Candidates,
                                         instant Now) const {
  std::vector<host_id> Healthy;
  std::copy_if(Candidates.begin(), Candidates.end(),
               std::back_inserter(Healthy),
               [&](host_id Host) { return seemsHealthy(Host, Now); });
  return Healthy.size() * 2 < Candidates.size() ? Candidates : Healthy;
}

} // namespace marjoramrail
