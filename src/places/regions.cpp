#include "marjoramrail/places.h"

#include <algorithm>
#include <iterator>

namespace marjoramrail {

region_restriction::region_restriction(std::vector<std::string> List) {
  std::sort(List.begin(), List.end());
  List.erase(std::unique(List.begin(), List.end()), List.end());
  Regions = std::move(List);
}

bool region_restriction::permits(std::string_view Region) const {
  return !Regions ||
         std::binary_search(Regions->begin(), Regions->end(), Region);
}

region_restriction intersectionOf(const region_restriction &A,
                                  const region_restriction &B) {
  if (!A.isRestricted())
    return B;
  if (!B.isRestricted())
    return A;
  std::vector<std::string> Common;
  std::set_intersection(A.regions()->begin(), A.regions()->end(),
                        B.regions()->begin(), B.regions()->end(),
                        std::back_inserter(Common));
  return region_restriction(std::move(Common));
}

region_restriction unionOf(const region_restriction &A,
                           const region_restriction &B) {
  if (!A.isRestricted() || !B.isRestricted())
    return region_restriction();
  std::vector<std::string> All = *A.regions();
  All.insert(All.end(), B.regions()->begin(), B.regions()->end());
  return region_restriction(std::move(All));
}

std::string_view regionOf(const zone_regions &Regions, std::string_view Zone) {
  const auto Found = Regions.find(Zone);
  return Found == Regions.end() ? std::string_view() : Found->second;
}

} // namespace marjoramrail
