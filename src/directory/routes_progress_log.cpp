#include "directory/routes_progress_log.h"

namespace marjoramrail::internal {

void routes_progress_log::noteArrival(std::uint64_t ObjectVersion,
                                      std::string Source, instant Now) {
  Arrivals.try_emplace(ObjectVersion, arrival{std::move(Source), Now});
}

routes_progress routes_progress_log::noteKnown(std::uint64_t ObjectVersion,
                                               std::uint64_t Version,
                                               instant FirstKnownAt,
                                               instant Now) {
  routes_progress Progress;
  Progress.Version = Version;
  Progress.ObjectVersion = ObjectVersion;
  Progress.ArrivedAt = Progress.KnownAt = Now;
  const auto Found = Arrivals.find(ObjectVersion);
  if (Found != Arrivals.end()) {
    Progress.Source = Found->second.Source;
    Progress.ArrivedAt = Found->second.At;
  }
  Progress.FirstKnownAt = std::min(FirstKnownAt, Progress.ArrivedAt);
  // Objects that a newer one has overtaken are not read any more.
  Arrivals.erase(Arrivals.begin(), Arrivals.upper_bound(ObjectVersion));
  Known[Version] = Progress;
  return Progress;
}

std::optional<routes_progress>
routes_progress_log::noteActive(std::uint64_t Version, instant Now) {
  const auto Found = Known.find(Version);
  if (Found == Known.end())
    return std::nullopt;
  routes_progress Progress = std::move(Found->second);
  Progress.ActiveAt = Now;
  // Tables that a newer one has overtaken do not come into effect any more.
  Known.erase(Known.begin(), Known.upper_bound(Version));
  return Progress;
}

} // namespace marjoramrail::internal
